#include "shardowner.h"

#include "rowkeys.h"
#include "shardownerprivate.h"

#include <algorithm>
#include <utility>

namespace Batch {

namespace {

constexpr auto minAnswerTimeout = std::chrono::seconds(5);
constexpr auto tableUnresponsiveAfter = std::chrono::seconds(1);
constexpr int renewalsPerLease = 3;
constexpr int releaseWaitsPerLease = 2;
constexpr int maxCapacityKinds = 16;

std::uint64_t toMilliseconds(Utils::Duration duration)
{
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

Schema::TaskSize vmSize(const Schema::VmEntry& vm)
{
    Schema::TaskSize size;
    size.set_processors(vm.processors());
    size.set_memory_mb(vm.memory_mb());
    size.set_accelerators(vm.accelerators());
    return size;
}

void addSize(Schema::TaskSize& sum, const Schema::TaskSize& size)
{
    sum.set_processors(sum.processors() + size.processors());
    sum.set_memory_mb(sum.memory_mb() + size.memory_mb());
    sum.set_accelerators(sum.accelerators() + size.accelerators());
}

void raiseToMaximum(Schema::TaskSize& largest, const Schema::TaskSize& size)
{
    largest.set_processors(std::max(largest.processors(), size.processors()));
    largest.set_memory_mb(std::max(largest.memory_mb(), size.memory_mb()));
    largest.set_accelerators(std::max(largest.accelerators(), size.accelerators()));
}

void addDistinctSize(Schema::ShardCapacity& capacity, const Schema::TaskSize& size)
{
    const auto same
        = [&](const Schema::TaskSize& kind) { return sizeFits(kind, size) && sizeFits(size, kind); };
    if (capacity.kinds_size() < maxCapacityKinds && std::ranges::none_of(capacity.kinds(), same))
        *capacity.add_kinds() = size;
}

} // namespace

ShardOwner::Private::Private(ShardOwnerOptions options, Placer& placer)
    : options_(std::move(options))
    , placer_(placer)
    , writer_(answerTimeout(), options_.roundInterval)
    , journal_(options_.shard, options_.maxRecordsPerFlush, options_.maxSegments)
{
}

Actions ShardOwner::Private::tick(Utils::TimePoint now)
{
    Actions actions;
    switch (role_) {
    case Role::Watching:
        watchShardRow(now, actions);
        break;
    case Role::TakingOver:
    case Role::Releasing:
        writer_.poll(now, nextReadId_, actions);
        break;
    case Role::Loading:
        readJournal(now, actions);
        break;
    case Role::Owning:
        tickAsOwner(now, actions);
        break;
    case Role::Released:
        break;
    }
    return actions;
}

void ShardOwner::Private::watchShardRow(Utils::TimePoint now, Actions& actions)
{
    if (releaseRequested_) {
        role_ = Role::Released;
        return;
    }
    if (watch_.canTakeOver(now)) {
        startTakeover(now);
        writer_.poll(now, nextReadId_, actions);
        return;
    }
    if (watchReadId_ != 0 && now - watchReadAt_ < options_.lease / renewalsPerLease)
        return;
    watchReadAt_ = now;
    watchReadId_ = ++nextReadId_;
    actions.reads.push_back({ shardKey(options_.shard), watchReadId_ });
}

void ShardOwner::Private::startTakeover(Utils::TimePoint now)
{
    row_ = watch_.shard();
    row_.set_longest_lease_ms(std::max(row_.longest_lease_ms(), toMilliseconds(options_.lease)));
    longestLease_ = std::chrono::milliseconds(row_.longest_lease_ms());
    row_.set_owner(options_.owner);
    row_.set_epoch(row_.epoch() + 1);
    row_.set_duration_ms(toMilliseconds(options_.lease));
    row_.set_outage_grace_ms(std::max(row_.outage_grace_ms(), toMilliseconds(options_.outageGrace)));
    row_.set_region(options_.region);
    row_.set_domain(options_.domain);
    Schema::CommitRequest request;
    Schema::RowPut* put = request.add_puts();
    put->set_key(shardKey(options_.shard));
    put->set_value(row_.SerializeAsString());
    role_ = Role::TakingOver;
    writer_ = FencedWriter(answerTimeout(), options_.roundInterval);
    request.set_write_id(options_.owner + "/" + options_.shard + "/" + std::to_string(++nextWriteId_));
    Schema::RowCondition* condition = request.add_conditions();
    condition->set_key(shardKey(options_.shard));
    condition->set_version(watch_.version());
    writer_.start(std::move(request), watch_.version(), now);
}

void ShardOwner::Private::startWrite(Schema::CommitRequest request, Utils::TimePoint now)
{
    request.set_write_id(options_.owner + "/" + options_.shard + "/" + std::to_string(++nextWriteId_));
    Schema::RowCondition* condition = request.add_conditions();
    condition->set_key(shardKey(options_.shard));
    condition->set_version(writer_.version());
    writer_.start(std::move(request), writer_.version(), now);
}

void ShardOwner::Private::readJournal(Utils::TimePoint now, Actions& actions)
{
    if (awaitsJournal_ && now - journalScannedAt_ < answerTimeout())
        return;
    awaitsJournal_ = true;
    journalScannedAt_ = now;
    journalScanId_ = ++nextReadId_;
    actions.scans.push_back({ journalPrefix(options_.shard), journalScanId_ });
}

void ShardOwner::Private::tickAsOwner(Utils::TimePoint now, Actions& actions)
{
    if (!releaseRequested_)
        scanInbox(now, actions);
    else if (!releaseStartedAt_)
        releaseStartedAt_ = now;
    dropLostWorkers(now);
    if (now - lastRoundAt_ >= options_.roundInterval) {
        lastRoundAt_ = now;
        if (!releaseRequested_)
            scheduleRound(now);
        finishJobs(now);
        flushJournal(now);
    }
    writer_.poll(now, nextReadId_, actions);
    if (!outageGraceExpired(now))
        sendCommandBatches(now, actions);
}

// Workers get no renewals until the next owner has taken over, so their leases are renewed just before the
// release. The release does not wait for these renewals longer than lease / releaseWaitsPerLease.
bool ShardOwner::Private::workersRenewedForRelease(Utils::TimePoint now) const
{
    if (!releaseStartedAt_ || now - *releaseStartedAt_ >= options_.lease / releaseWaitsPerLease)
        return releaseStartedAt_.has_value();
    return std::ranges::all_of(workers_, [this](const auto& entry) {
        const WorkerLink& link = entry.second.link;
        return !link.hasReported() || link.lastSentAt() >= *releaseStartedAt_;
    });
}

void ShardOwner::Private::flushJournal(Utils::TimePoint now)
{
    if (writer_.state() != FencedWriter::State::Idle)
        return;
    const bool renewalDue = now - writer_.firstSentAt() >= options_.lease / renewalsPerLease;
    const bool isFinalFlush
        = releaseRequested_ && !journal_.hasBufferedChanges() && workersRenewedForRelease(now);
    if (!journal_.hasBufferedChanges() && !renewalDue && !isFinalFlush)
        return;
    updateCapacity();
    Schema::ShardRow row = row_;
    if (isFinalFlush) {
        row.clear_owner();
        role_ = Role::Releasing;
    }
    Schema::CommitRequest request;
    journal_.prepareFlush(row, request);
    row_.set_first_segment(row.first_segment());
    row_.set_next_segment(row.next_segment());
    startWrite(std::move(request), now);
}

void ShardOwner::Private::onCommit(
    std::string_view writeId, CommitOutcome outcome, std::uint64_t version, Utils::TimePoint now)
{
    if (writer_.onCommit(writeId, outcome, version))
        onWriteCommitted(now);
}

void ShardOwner::Private::onRow(std::uint64_t id, const Schema::Row* row, Utils::TimePoint now)
{
    if (role_ == Role::Watching) {
        if (id == watchReadId_ && row != nullptr)
            watch_.observe(*row, now);
        return;
    }
    if (writer_.onRow(id, row))
        onWriteCommitted(now);
    else if (writer_.state() == FencedWriter::State::Lost)
        stepDown();
}

void ShardOwner::Private::onWriteCommitted(Utils::TimePoint now)
{
    ++statistics_.commits;
    renewedAt_ = writer_.firstSentAt();
    if (role_ == Role::TakingOver) {
        ++statistics_.takeovers;
        role_ = Role::Loading;
        ownedSince_ = now;
        awaitsJournal_ = false;
        return;
    }
    const FlushedRecords flushed = journal_.onFlushCommitted();
    if (role_ == Role::Releasing) {
        stepDown();
        return;
    }
    for (const Schema::TaskRecord& record : flushed.tasks)
        onTaskRecorded(record);
}

void ShardOwner::Private::onRows(std::uint64_t id, const std::vector<Schema::Row>* rows, Utils::TimePoint now)
{
    if (role_ == Role::Loading && id == journalScanId_) {
        if (rows != nullptr)
            loadJournal(*rows, now);
        else
            awaitsJournal_ = false;
        return;
    }
    if (role_ != Role::Owning || id != inboxScanId_)
        return;
    awaitsInbox_ = false;
    if (rows != nullptr)
        onInbox(*rows, now);
}

void ShardOwner::Private::loadJournal(const std::vector<Schema::Row>& rows, Utils::TimePoint now)
{
    Journal journal(options_.shard, options_.maxRecordsPerFlush, options_.maxSegments);
    if (!journal.load(rows, row_)) {
        awaitsJournal_ = false;
        return;
    }
    journal_ = std::move(journal);
    for (const auto& [id, record] : journal_.jobs()) {
        Job& job = registry_.add(record, now);
        registry_.setRank(job, rankOf(job));
    }
    for (const auto& [key, record] : journal_.tasks()) {
        if (Task* task = registry_.task(key))
            registry_.restore(*task, record);
    }
    for (const auto& [id, job] : registry_.jobs()) {
        if (job->record.cancelled() && !job->record.finished())
            cancel(*job);
    }
    role_ = Role::Owning;
    if (hasWorkerList_)
        applyWorkerList(now);
}

void ShardOwner::Private::onWorkers(std::span<const Schema::VmEntry> workers, Utils::TimePoint now)
{
    listedVms_.assign(workers.begin(), workers.end());
    hasWorkerList_ = true;
    if (role_ == Role::Owning)
        applyWorkerList(now);
}

void ShardOwner::Private::applyWorkerList(Utils::TimePoint now)
{
    const Utils::TimePoint leasesLapsedAt
        = ownedSince_ + withClockMargin(std::chrono::milliseconds(row_.outage_grace_ms()) + longestLease_);
    std::set<std::string, std::less<>> listedNames;
    for (const Schema::VmEntry& vm : listedVms_) {
        listedNames.insert(vm.name());
        const auto [position, isNew]
            = workers_.try_emplace(vm.name(), WorkerLink(vm, leasesLapsedAt, longestLease_));
        position->second.link.vm() = vm;
        position->second.listed = true;
        reservations_.setCapacity(vm.name(), vmSize(vm));
    }
    // Workers that appear only in the journal may still run attempts, so these count as lost only once the
    // leases have lapsed or the worker counts as fenced.
    for (const auto& [key, record] : journal_.tasks()) {
        Schema::VmEntry vm;
        vm.set_name(record.worker());
        if (record.open() && !workers_.contains(record.worker()))
            workers_.try_emplace(record.worker(), WorkerLink(vm, leasesLapsedAt, longestLease_));
    }
    for (auto& [name, worker] : workers_) {
        if (listedNames.contains(name))
            continue;
        if (worker.listed)
            worker.unlistedSince = now;
        worker.listed = false;
    }
}

void ShardOwner::Private::stepDown()
{
    role_ = releaseRequested_ ? Role::Released : Role::Watching;
    watch_ = {};
    watchReadId_ = 0;
    journal_ = Journal(options_.shard, options_.maxRecordsPerFlush, options_.maxSegments);
    registry_ = {};
    reservations_ = {};
    workers_.clear();
    awaitsJournal_ = false;
    awaitsInbox_ = false;
}

void ShardOwner::Private::updateCapacity()
{
    Schema::ShardCapacity capacity;
    for (const auto& [name, worker] : workers_) {
        if (!worker.listed || worker.link.vm().leaving())
            continue;
        const Schema::TaskSize size = vmSize(worker.link.vm());
        capacity.set_workers(capacity.workers() + 1);
        addSize(*capacity.mutable_total(), size);
        addSize(*capacity.mutable_free(), reservations_.freeCapacity(name));
        raiseToMaximum(*capacity.mutable_largest(), size);
        addDistinctSize(capacity, size);
    }
    *row_.mutable_capacity() = capacity;
}

Utils::Duration ShardOwner::Private::answerTimeout() const
{
    return std::max<Utils::Duration>(minAnswerTimeout, options_.lease);
}

bool ShardOwner::Private::isTableResponsive(Utils::TimePoint now) const
{
    return writer_.state() == FencedWriter::State::Idle
        || now - writer_.firstSentAt() < tableUnresponsiveAfter;
}

bool ShardOwner::Private::outageGraceExpired(Utils::TimePoint now) const
{
    return now - renewedAt_ >= std::chrono::milliseconds(row_.outage_grace_ms());
}

ShardOwnerStatistics ShardOwner::Private::statistics() const
{
    ShardOwnerStatistics statistics = statistics_;
    statistics.isOwner = role_ == Role::Owning;
    statistics.epoch = row_.epoch();
    statistics.jobs = journal_.jobs().size();
    statistics.pending = registry_.count(TaskPhase::Pending);
    statistics.running = registry_.count(TaskPhase::Running) + registry_.count(TaskPhase::Starting);
    statistics.recordedAhead = registry_.count(TaskPhase::Recorded);
    statistics.responsiveWorkers = static_cast<std::uint64_t>(
        std::ranges::count_if(workers_, [](const auto& entry) { return entry.second.link.hasReported(); }));
    return statistics;
}

ShardOwner::ShardOwner(ShardOwnerOptions options, Placer& placer)
    : d_(std::make_unique<Private>(std::move(options), placer))
{
}

ShardOwner::~ShardOwner() = default;

Actions ShardOwner::tick(Utils::TimePoint now)
{
    return d_->tick(now);
}

void ShardOwner::onCommit(
    std::string_view writeId, CommitOutcome outcome, std::uint64_t version, Utils::TimePoint now)
{
    d_->onCommit(writeId, outcome, version, now);
}

void ShardOwner::onRow(std::uint64_t id, const Schema::Row* row, Utils::TimePoint now)
{
    d_->onRow(id, row, now);
}

void ShardOwner::onRows(std::uint64_t id, const std::vector<Schema::Row>* rows, Utils::TimePoint now)
{
    d_->onRows(id, rows, now);
}

void ShardOwner::onReport(
    std::string_view worker, std::uint64_t sequence, const Schema::WorkerReport* report, Utils::TimePoint now)
{
    d_->onReport(worker, sequence, report, now);
}

void ShardOwner::onWorkers(std::span<const Schema::VmEntry> workers, Utils::TimePoint now)
{
    d_->onWorkers(workers, now);
}

void ShardOwner::release()
{
    d_->releaseRequested_ = true;
}

void ShardOwner::setPolicy(const Schema::PolicyDocument& policy)
{
    d_->setPolicy(policy);
}

bool ShardOwner::isReleased() const
{
    return d_->role_ == Private::Role::Released;
}

bool ShardOwner::evict(const Schema::AttemptRef& attempt)
{
    return d_->evict(attempt);
}

ShardOwnerStatistics ShardOwner::statistics() const
{
    return d_->statistics();
}

} // namespace Batch
