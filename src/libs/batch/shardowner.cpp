#include "shardowner.h"

#include "rowkeys.h"
#include "shardownerprivate.h"

#include <algorithm>
#include <utility>

namespace Batch {

namespace {

constexpr auto minAnswerTimeout = std::chrono::seconds(5);
constexpr auto unhealthyAfter = std::chrono::seconds(1);
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

void raiseSize(Schema::TaskSize& largest, const Schema::TaskSize& size)
{
    largest.set_processors(std::max(largest.processors(), size.processors()));
    largest.set_memory_mb(std::max(largest.memory_mb(), size.memory_mb()));
    largest.set_accelerators(std::max(largest.accelerators(), size.accelerators()));
}

void addKind(Schema::ShardCapacity& capacity, const Schema::TaskSize& size)
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
    , writer_(answerTimeout(), options_.round)
    , journal_(options_.shard, options_.maxRecordsPerFlush, options_.maxSegments)
{
}

Actions ShardOwner::Private::tick(Utils::TimePoint now)
{
    Actions actions;
    switch (role_) {
    case Role::Watching:
        watch(now, actions);
        break;
    case Role::Taking:
    case Role::Releasing:
        writer_.poll(now, nextReadId_, actions);
        break;
    case Role::Loading:
        read(now, actions);
        break;
    case Role::Owning:
        own(now, actions);
        break;
    case Role::Released:
        break;
    }
    return actions;
}

void ShardOwner::Private::watch(Utils::TimePoint now, Actions& actions)
{
    if (releaseAsked_) {
        role_ = Role::Released;
        return;
    }
    if (watch_.mayTake(now)) {
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
    role_ = Role::Taking;
    writer_ = FencedWriter(answerTimeout(), options_.round);
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

void ShardOwner::Private::read(Utils::TimePoint now, Actions& actions)
{
    if (awaitsScan_ && now - scanAt_ < answerTimeout())
        return;
    awaitsScan_ = true;
    scanAt_ = now;
    scanId_ = ++nextReadId_;
    actions.scans.push_back({ journalPrefix(options_.shard), scanId_ });
}

void ShardOwner::Private::own(Utils::TimePoint now, Actions& actions)
{
    if (!releaseAsked_)
        askInbox(now, actions);
    else if (!releaseFrom_)
        releaseFrom_ = now;
    giveUpLost(now);
    if (now - roundAt_ >= options_.round) {
        roundAt_ = now;
        if (!releaseAsked_)
            scheduleRound(now);
        finishJobs(now);
        flush(now);
    }
    writer_.poll(now, nextReadId_, actions);
    if (!suspended(now))
        sendBatches(now, actions);
}

// The next owner needs time to take over, so it is given workers whose leases were renewed just before.
bool ShardOwner::Private::renewedForRelease(Utils::TimePoint now) const
{
    if (!releaseFrom_ || now - *releaseFrom_ >= options_.lease / releaseWaitsPerLease)
        return releaseFrom_.has_value();
    return std::ranges::all_of(workers_, [this](const auto& entry) {
        const WorkerLink& link = entry.second.link;
        return !link.heard() || link.lastSentAt() >= *releaseFrom_;
    });
}

void ShardOwner::Private::flush(Utils::TimePoint now)
{
    if (writer_.state() != FencedWriter::State::Idle)
        return;
    const bool renewalDue = now - writer_.firstSentAt() >= options_.lease / renewalsPerLease;
    const bool last = releaseAsked_ && !journal_.dirty() && renewedForRelease(now);
    if (!journal_.dirty() && !renewalDue && !last)
        return;
    fillCapacity();
    Schema::ShardRow row = row_;
    if (last) {
        row.clear_owner();
        role_ = Role::Releasing;
    }
    Schema::CommitRequest request;
    journal_.prepare(row, request);
    row_.set_first_segment(row.first_segment());
    row_.set_next_segment(row.next_segment());
    startWrite(std::move(request), now);
}

void ShardOwner::Private::onCommit(
    std::string_view writeId, CommitOutcome outcome, std::uint64_t version, Utils::TimePoint now)
{
    if (writer_.onCommit(writeId, outcome, version))
        onWritten(now);
}

void ShardOwner::Private::onRow(std::uint64_t id, const Schema::Row* row, Utils::TimePoint now)
{
    if (role_ == Role::Watching) {
        if (id == watchReadId_ && row != nullptr)
            watch_.observe(*row, now);
        return;
    }
    if (writer_.onRow(id, row))
        onWritten(now);
    else if (writer_.state() == FencedWriter::State::Lost)
        stepDown();
}

void ShardOwner::Private::onWritten(Utils::TimePoint now)
{
    ++counts_.commits;
    renewedAt_ = writer_.firstSentAt();
    if (role_ == Role::Taking) {
        ++counts_.takeovers;
        role_ = Role::Loading;
        ownedSince_ = now;
        awaitsScan_ = false;
        return;
    }
    const JournalFlush flushed = journal_.committed();
    if (role_ == Role::Releasing) {
        stepDown();
        return;
    }
    for (const Schema::TaskRecord& record : flushed.tasks)
        onRecorded(record);
}

void ShardOwner::Private::onRows(std::uint64_t id, const std::vector<Schema::Row>* rows, Utils::TimePoint now)
{
    if (role_ == Role::Loading && id == scanId_) {
        if (rows != nullptr)
            onSegments(*rows, now);
        else
            awaitsScan_ = false;
        return;
    }
    if (role_ != Role::Owning || id != inboxScanId_)
        return;
    awaitsInbox_ = false;
    if (rows != nullptr)
        onInbox(*rows, now);
}

void ShardOwner::Private::onSegments(const std::vector<Schema::Row>& rows, Utils::TimePoint now)
{
    Journal journal(options_.shard, options_.maxRecordsPerFlush, options_.maxSegments);
    if (!journal.load(rows, row_)) {
        awaitsScan_ = false;
        return;
    }
    journal_ = std::move(journal);
    for (const auto& [id, record] : journal_.jobs()) {
        Job& job = book_.add(record, now);
        book_.setRank(job, rankOf(job));
    }
    for (const auto& [key, record] : journal_.tasks()) {
        if (Task* task = book_.task(key))
            book_.restore(*task, record);
    }
    for (const auto& [id, job] : book_.jobs()) {
        if (job->record.cancelled() && !job->record.finished())
            cancel(*job);
    }
    role_ = Role::Owning;
    if (listKnown_)
        takeList(now);
}

void ShardOwner::Private::onWorkers(std::span<const Schema::VmEntry> workers, Utils::TimePoint now)
{
    listed_.assign(workers.begin(), workers.end());
    listKnown_ = true;
    if (role_ == Role::Owning)
        takeList(now);
}

void ShardOwner::Private::takeList(Utils::TimePoint now)
{
    const Utils::TimePoint lapsedAfter
        = ownedSince_ + withClockMargin(std::chrono::milliseconds(row_.outage_grace_ms()) + longestLease_);
    std::set<std::string, std::less<>> names;
    for (const Schema::VmEntry& vm : listed_) {
        names.insert(vm.name());
        const auto [place, isNew]
            = workers_.try_emplace(vm.name(), WorkerLink(vm, lapsedAfter, longestLease_));
        place->second.link.vm() = vm;
        place->second.listed = true;
        commitments_.setCapacity(vm.name(), vmSize(vm));
    }
    // Workers that only the journal names are waited for too.
    for (const auto& [key, record] : journal_.tasks()) {
        Schema::VmEntry vm;
        vm.set_name(record.worker());
        if (record.open() && !workers_.contains(record.worker()))
            workers_.try_emplace(record.worker(), WorkerLink(vm, lapsedAfter, longestLease_));
    }
    for (auto& [name, worker] : workers_) {
        if (names.contains(name))
            continue;
        if (worker.listed)
            worker.missingSince = now;
        worker.listed = false;
    }
}

void ShardOwner::Private::stepDown()
{
    role_ = releaseAsked_ ? Role::Released : Role::Watching;
    watch_ = {};
    watchReadId_ = 0;
    journal_ = Journal(options_.shard, options_.maxRecordsPerFlush, options_.maxSegments);
    book_ = {};
    commitments_ = {};
    workers_.clear();
    awaitsScan_ = false;
    awaitsInbox_ = false;
}

void ShardOwner::Private::fillCapacity()
{
    Schema::ShardCapacity capacity;
    for (const auto& [name, worker] : workers_) {
        if (!worker.listed || worker.link.vm().leaving())
            continue;
        const Schema::TaskSize size = vmSize(worker.link.vm());
        capacity.set_workers(capacity.workers() + 1);
        addSize(*capacity.mutable_total(), size);
        addSize(*capacity.mutable_free(), commitments_.free(name));
        raiseSize(*capacity.mutable_largest(), size);
        addKind(capacity, size);
    }
    *row_.mutable_capacity() = capacity;
}

Utils::Duration ShardOwner::Private::answerTimeout() const
{
    return std::max<Utils::Duration>(minAnswerTimeout, options_.lease);
}

bool ShardOwner::Private::tableHealthy(Utils::TimePoint now) const
{
    return writer_.state() == FencedWriter::State::Idle || now - writer_.firstSentAt() < unhealthyAfter;
}

bool ShardOwner::Private::suspended(Utils::TimePoint now) const
{
    return now - renewedAt_ >= std::chrono::milliseconds(row_.outage_grace_ms());
}

ShardOwnerStatistics ShardOwner::Private::statistics() const
{
    ShardOwnerStatistics statistics = counts_;
    statistics.owning = role_ == Role::Owning;
    statistics.epoch = row_.epoch();
    statistics.jobs = journal_.jobs().size();
    statistics.pending = book_.count(TaskPhase::Pending);
    statistics.running = book_.count(TaskPhase::Running) + book_.count(TaskPhase::Starting);
    statistics.stocked = book_.count(TaskPhase::Stocked);
    statistics.workersHeard = static_cast<std::uint64_t>(
        std::ranges::count_if(workers_, [](const auto& entry) { return entry.second.link.heard(); }));
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
    d_->releaseAsked_ = true;
}

void ShardOwner::setPolicy(const Schema::PolicyDocument& policy)
{
    d_->setPolicy(policy);
}

bool ShardOwner::released() const
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
