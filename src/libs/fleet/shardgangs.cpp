// Gangs of ShardScheduler. A gang that no single shard can run is divided: the origin shard delegates a part
// of the members to each of several host shards and may keep one itself. Each shard records the attempts of
// its part, holds their capacity and tells the origin shard. Once all parts are held, the origin shard calls
// the host shards to send the starts. All members have the same attempt number, which the division
// determines, and a part starts no other attempt: it is returned when that one ends, or when the capacity was
// not found or was held for too long. The gang is started or divided again only when all its members are
// back.

#include "shardscheduler.h"

#include "crashpolicy.h"
#include "gangvisit.h"
#include "interferenceview.h"
#include "workerchoice.h"
#include "workercommitment.h"
#include "workerranking.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace Fleet {

namespace {

using std::chrono::milliseconds;

// Time for which a part waits for its members and for workers before it is returned.
constexpr milliseconds partSearchLimit { 1500 };
// Time for which capacity is held for a part that is not started.
constexpr milliseconds partHoldLimit { 3000 };
// No gang is started if the capacity of a part is held for less than this: the call to start could be late.
constexpr milliseconds minRemainingHold { 1000 };
// Time after the end of a member within which the others usually end by themselves, or are known to be done.
constexpr milliseconds brokenGangDelay { 1000 };
constexpr milliseconds readyInterval { 300 };
constexpr milliseconds startInterval { 200 };
// Time from the search for workers to the next division of a gang. A part of it differs between gangs, so
// that two of them do not keep taking each other's capacity.
constexpr milliseconds minDivisionInterval { 700 };
constexpr std::uint64_t divisionIntervalSpreadMs = 600;

std::vector<Task*> gangOf(Job& job, std::uint32_t occurrence, std::uint32_t step)
{
    std::vector<Task*> gang;
    for (std::uint32_t index = 0; index < job.spec.steps(static_cast<int>(step)).count(); ++index)
        gang.push_back(job.findTask(occurrence, step, index));
    return gang;
}

std::vector<Task*> gangOf(const Task& task)
{
    return gangOf(*task.job, task.occurrence, task.step);
}

// Whether the origin shard does not wait for the parts of a division any more: a member is back, or a former
// owner divided the gang.
bool isDivisionOver(std::span<Task* const> gang)
{
    return std::any_of(gang.begin(), gang.end(), [](const Task* member) { return member->part.size == 0; });
}

bool isHostedAt(const Task& task, const FleetSchema::GangPart& part)
{
    return task.phase == TaskPhase::Delegated && task.hostShard == part.shard()
        && task.transferNumber == part.transfer() && task.part.size > 0;
}

FleetSchema::GangPart partOf(const Task& task)
{
    FleetSchema::GangPart part;
    part.set_job(task.job->spec.id());
    part.set_occurrence(task.occurrence);
    part.set_step(task.step);
    part.set_transfer(task.transferNumber);
    return part;
}

std::vector<Task*> heldMembers(std::span<Task* const> gang)
{
    std::vector<Task*> held;
    std::copy_if(gang.begin(), gang.end(), std::back_inserter(held),
        [](const Task* member) { return member->phase == TaskPhase::Held; });
    return held;
}

Utils::Duration divisionInterval(const Task& task)
{
    const std::string& job = task.job->spec.id();
    const std::uint64_t hash = XXH64(job.data(), job.size(), task.transferNumber);
    return minDivisionInterval + milliseconds(hash % divisionIntervalSpreadMs);
}

} // namespace

void ShardScheduler::assignGang(Job& job, std::uint32_t occurrence, std::uint32_t step, Utils::TimePoint now)
{
    const std::vector<Task*> gang = gangOf(job, occurrence, step);
    std::vector<Task*> whole;
    std::vector<Task*> part;
    for (Task* member : gang) {
        if (member->phase == TaskPhase::Waiting)
            (member->part.size > 0 ? part : whole).push_back(member);
    }
    if (!part.empty())
        return assignPart(part, now);
    if (whole.size() < gang.size()) {
        const bool isElsewhere = std::any_of(gang.begin(), gang.end(), [](const Task* member) {
            return member->phase == TaskPhase::AtOrigin || member->phase == TaskPhase::Resolved;
        });
        // They are to be returned if the others do not come.
        if (job.isHosted() && isElsewhere && !job.spec.steps(static_cast<int>(step)).lasting()) {
            for (Task* member : whole)
                markWaiting(*member, now);
        }
        return stopBrokenGang(gang, now);
    }
    assignTogether(gang, now);
}

// Once a member has ended without result, the others make no progress, and the gang cannot start again before
// they end.
void ShardScheduler::stopBrokenGang(std::span<Task* const> gang, Utils::TimePoint now)
{
    const auto ended = std::find_if(gang.begin(), gang.end(),
        [](const Task* member) { return member->phase == TaskPhase::Waiting && member->attempt > 0; });
    if (ended == gang.end() || (*ended)->job->step(**ended).lasting())
        return;
    for (Task* member : gang) {
        if (member->phase != TaskPhase::Running || member->attempt != (*ended)->attempt)
            continue;
        if (now - (*ended)->notBefore >= brokenGangDelay)
            requestStop(*member, now);
        else
            hasWaitingTasks_ = true;
    }
}

// Assigns all of the tasks or none: some members alone would occupy capacity without making progress.
bool ShardScheduler::assignTogether(std::span<Task* const> tasks, Utils::TimePoint now)
{
    std::uint32_t attempt = 0;
    for (const Task* task : tasks) {
        if (task->notBefore > now)
            visitAgain(*task->job, task->occurrence);
        if (task->notBefore > now || awaitsCrashVerdict(*task))
            return false;
        attempt = std::max(attempt, task->attempt);
    }
    WorkerRanking ranking(passWorkers_);
    std::vector<std::pair<Task*, Worker*>> chosen;
    for (Task* task : tasks) {
        Worker* worker = ranking.choose(*task, interferenceView(StepKind::Search), now);
        if (!worker)
            break;
        addAttempt(*task, *worker);
        onTasksChanged(*worker);
        ranking.onTasksChanged(*worker);
        chosen.emplace_back(task, worker);
    }
    for (const auto& [task, worker] : chosen) {
        removeAttempt(*task, *worker);
        onTasksChanged(*worker);
    }
    if (chosen.size() != tasks.size()) {
        for (Task* task : tasks)
            markWaiting(*task, now);
        return false;
    }
    // All members of the gang continue from the same checkpoint.
    const std::string checkpoint = tasks.front()->checkpoint;
    for (const auto& [task, worker] : chosen) {
        task->attempt = attempt;
        task->checkpoint = checkpoint;
        assign(*task, *worker, now);
    }
    return true;
}

void ShardScheduler::assignPart(std::span<Task* const> part, Utils::TimePoint now)
{
    const Task& first = *part.front();
    const bool isComplete
        = part.size() == first.part.size && std::all_of(part.begin(), part.end(), [&](const Task* member) {
              return member->transferNumber == first.transferNumber
                  && member->attempt + 1 == member->part.attempt;
          });
    if (isComplete && assignTogether(part, now))
        return;
    for (Task* member : part)
        markWaiting(*member, now);
}

bool ShardScheduler::divideGang(std::span<Task* const> gang, Utils::TimePoint now)
{
    const Task& first = *gang.front();
    const FleetSchema::StepSpec& step = first.job->step(first);
    const Utils::Duration waited = now - first.waitingSince;
    if (step.lasting() || (first.transferNumber > 0 && waited < divisionInterval(first)))
        return false;
    const std::vector<GangShare> shares
        = output_.divideGang(first.job->spec, first.step, waited, first.returnedBy);
    std::size_t count = 0;
    for (const GangShare& share : shares)
        count += share.count;
    if (shares.empty() || count != gang.size())
        return false;
    std::uint32_t attempt = 0;
    std::uint32_t transferNumber = 0;
    for (const Task* member : gang) {
        attempt = std::max(attempt, member->attempt);
        transferNumber = std::max(transferNumber, member->transferNumber);
    }
    // All members of the gang continue from the same checkpoint.
    const std::string checkpoint = first.checkpoint;
    auto next = gang.begin();
    for (const GangShare& share : shares) {
        for (std::uint32_t number = 0; number < share.count; ++number) {
            Task& member = **next++;
            member.attempt = attempt;
            member.checkpoint = checkpoint;
            member.transferNumber = transferNumber;
            member.part = { share.count, attempt + 1, now };
            if (share.shard != options_.shard)
                delegate(member, share.shard);
            else
                ++member.transferNumber;
        }
    }
    markDirty(*first.job);
    visitAgain(*first.job, first.occurrence);
    isScheduleDue_ = true;
    return true;
}

// The attempts are stored and nothing has been sent.
void ShardScheduler::holdPart(std::span<Task* const> part, Utils::TimePoint now)
{
    for (Task* member : part) {
        member->phase = TaskPhase::Held;
        member->part.heldUntil = now + partHoldLimit;
    }
    Task& first = *part.front();
    if (first.job->isHosted())
        sendPartReady(first, now);
    else
        startIfReady(gangOf(first), now);
}

// The attempts were not sent, so they cannot run. Their number is used up, so the part is left afterwards.
void ShardScheduler::releasePart(std::span<Task* const> part, std::string_view reason, Utils::TimePoint now)
{
    for (Task* member : part) {
        output_.attemptEnded(member->worker->info.id, keyOf(*member), member->attempt, reason);
        requeue(*member, now);
    }
}

void ShardScheduler::leavePart(Task& task)
{
    if (task.job->isHosted())
        return resolveAlone(task, FleetSchema::TASK_RETURNED);
    task.part = {};
    task.waitingSince = {};
    visitAgain(*task.job, task.occurrence);
    isScheduleDue_ = true;
}

// Visits a member of a part. A tick visits the members of a gang one after the other and examines the gang as
// a whole twice: when it visits the first member, and for all that are held.
void ShardScheduler::tickPart(Task& task, GangVisit& visit, Utils::TimePoint now)
{
    const Job& job = *task.job;
    const Task* const first = task.job->findTask(task.occurrence, task.step, 0);
    if (visit.first != first) {
        const std::vector<Task*> gang = gangOf(task);
        steps_->spend(StepKind::Transfers, gang.size());
        visit = { first, !job.isHosted() && isDivisionOver(gang), false };
    }
    if (task.phase == TaskPhase::Waiting) {
        // Only the shard of the workers learns whether they have crashed.
        const bool mayLeave = job.isActive() && task.presumedCrashes.empty();
        if (mayLeave
            && (visit.isOver || task.attempt >= task.part.attempt
                || now - task.part.since > partSearchLimit)) {
            leavePart(task);
            visit.isOver = !job.isHosted();
        }
        return;
    }
    if (std::exchange(visit.hasHeld, true))
        return;
    const std::vector<Task*> gang = gangOf(task);
    steps_->spend(StepKind::Transfers, gang.size());
    const std::vector<Task*> held = heldMembers(gang);
    std::string_view obstacle = findStartObstacle(held, now);
    if (visit.isOver || !job.isActive())
        obstacle = "gang-part-over";
    else if (now >= task.part.heldUntil)
        obstacle = "gang-part-lapsed";
    if (!obstacle.empty())
        releasePart(held, obstacle, now);
    else if (!job.isHosted())
        startIfReady(gang, now);
    else if (now - task.part.calledAt >= readyInterval)
        sendPartReady(task, now);
}

// The decision need not be stored: the attempts are, with the number that the stored delegations determine. A
// successor that does not know the decision refuses the parts that have not started.
void ShardScheduler::startIfReady(std::span<Task* const> gang, Utils::TimePoint now)
{
    const bool isReady
        = !isDivisionOver(gang) && std::all_of(gang.begin(), gang.end(), [now](const Task* member) {
              const bool isHeld = member->phase == TaskPhase::Held || member->phase == TaskPhase::Delegated;
              return isHeld && !member->part.isStartDecided
                  && member->part.heldUntil - now >= minRemainingHold;
          });
    if (!isReady || now > startRightEnd_)
        return;
    const std::vector<Task*> own = heldMembers(gang);
    if (const std::string_view obstacle = findStartObstacle(own, now); !obstacle.empty())
        return releasePart(own, obstacle, now);
    for (Task* member : gang)
        member->part.isStartDecided = true;
    sendPartStarts(*gang.front()->job, now);
    for (Task* member : own)
        sendStart(*member, now);
}

void ShardScheduler::sendPartReady(Task& task, Utils::TimePoint now)
{
    task.part.calledAt = now;
    FleetSchema::GangPart part = partOf(task);
    part.set_shard(options_.shard);
    part.set_hold_ms(static_cast<std::uint32_t>(
        std::chrono::duration_cast<milliseconds>(task.part.heldUntil - now).count()));
    output_.sendPartReady(task.job->originShard, part);
}

// One call a shard covers its whole part.
void ShardScheduler::sendPartStarts(Job& job, Utils::TimePoint now)
{
    if (!job.isActive() || job.isHosted())
        return;
    const Task* called = nullptr;
    for (Task& task : job.tasks) {
        const bool isDue = task.phase == TaskPhase::Delegated && task.part.isStartDecided
            && !task.part.isStartAnswered && now - task.part.calledAt >= startInterval;
        if (!isDue)
            continue;
        task.part.calledAt = now;
        // The members of a part follow one another.
        if (called && called->hostShard == task.hostShard && called->step == task.step
            && called->occurrence == task.occurrence)
            continue;
        called = &task;
        FleetSchema::GangPart part = partOf(task);
        part.set_shard(task.hostShard);
        output_.startPart(task.hostShard, part);
    }
}

// Returns the gang that a message is about; empty if this shard does not know it.
std::vector<Task*> ShardScheduler::findGang(const FleetSchema::GangPart& part)
{
    Job* const job = findJob(part.job());
    const Task* const first = job ? job->findTask(part.occurrence(), part.step(), 0) : nullptr;
    if (!first || !job->step(*first).gang() || !job->isActive())
        return {};
    return gangOf(*first);
}

FleetSchema::PeerOutcome ShardScheduler::acceptPartReady(
    const FleetSchema::GangPart& part, Utils::TimePoint now)
{
    const std::vector<Task*> gang = findGang(part);
    if (gang.empty() || gang.front()->job->isHosted() || isDivisionOver(gang))
        return FleetSchema::PEER_REFUSED;
    bool isKnown = false;
    for (Task* member : gang) {
        if (!isHostedAt(*member, part))
            continue;
        isKnown = true;
        member->part.heldUntil = now + milliseconds(part.hold_ms());
    }
    if (!isKnown)
        return FleetSchema::PEER_REFUSED;
    startIfReady(gang, now);
    return FleetSchema::PEER_OK;
}

FleetSchema::PeerOutcome ShardScheduler::acceptPartStart(
    const FleetSchema::GangPart& part, Utils::TimePoint now)
{
    std::vector<Task*> held;
    bool isStarted = false;
    for (Task* member : findGang(part)) {
        if (member->part.size == 0 || member->transferNumber != part.transfer())
            continue;
        if (member->phase == TaskPhase::Held)
            held.push_back(member);
        else if (member->isOpen() && member->phase != TaskPhase::Recorded)
            isStarted = true;
    }
    if (held.empty())
        return isStarted ? FleetSchema::PEER_OK : FleetSchema::PEER_REFUSED;
    std::string_view obstacle = findStartObstacle(held, now);
    if (now >= held.front()->part.heldUntil)
        obstacle = "gang-part-lapsed";
    if (!obstacle.empty()) {
        releasePart(held, obstacle, now);
        return FleetSchema::PEER_REFUSED;
    }
    for (Task* member : held)
        sendStart(*member, now);
    return FleetSchema::PEER_OK;
}

void ShardScheduler::onPartReadyAnswered(
    const FleetSchema::GangPart& part, FleetSchema::PeerOutcome outcome, Utils::TimePoint now)
{
    if (outcome != FleetSchema::PEER_REFUSED)
        return;
    std::vector<Task*> held = heldMembers(findGang(part));
    std::erase_if(held, [&](const Task* member) { return member->transferNumber != part.transfer(); });
    releasePart(held, "gang-part-refused", now);
}

void ShardScheduler::onPartStartAnswered(const FleetSchema::GangPart& part, FleetSchema::PeerOutcome outcome)
{
    if (outcome != FleetSchema::PEER_OK && outcome != FleetSchema::PEER_REFUSED)
        return;
    for (Task* member : findGang(part)) {
        if (isHostedAt(*member, part))
            member->part.isStartAnswered = true;
    }
}

} // namespace Fleet
