#include "idempotencykeystore.h"

#include "outcomeresponse.h"

#include "http/headers.h"
#include "platform/tableservice.h"
#include "requests/keywritebatch.h"
#include "utils/identifiers.h"
#include "utils/log/log.h"

#include <algorithm>
#include <array>
#include <condition_variable>
#include <cstdio>
#include <deque>
#include <mutex>
#include <optional>
#include <thread>
#include <vector>

#include <xxhash.h>

namespace Gateway {

namespace {

using Requests::KeyStep;

constexpr std::size_t workerThreadCount = 4;
constexpr std::size_t maxBatchTasks = 128;
constexpr std::size_t maxReadsPerBatch = 4; // Further reads wait, so that they delay no writes.
constexpr std::size_t maxPendingTasks = 20000;
constexpr std::size_t maxRecordedBodyBytes = 64U << 10U;
constexpr Utils::Duration inProgressPollInterval = std::chrono::milliseconds(100);
constexpr Utils::Duration retryDelay = std::chrono::milliseconds(300);
constexpr Utils::Duration stopTimeout = std::chrono::seconds(3);
constexpr unsigned statusConflict = 409;
constexpr unsigned statusUnprocessable = 422;
constexpr unsigned statusUnavailable = 503;

enum class TaskPurpose { Claim, Record, Release };

enum class WriteResult { Committed, Conflict, OutcomeUnknown, NotSent };

struct KeyTask {
    TaskPurpose purpose = TaskPurpose::Claim;
    std::shared_ptr<Requests::KeyClaim> claim;
    KeyStep step;
    std::string rowKey;
    Utils::TimePoint deadline {};
    Utils::TimePoint notBefore {};
    KeyClaimCallback callback;
};

Utils::TimePoint now()
{
    return std::chrono::steady_clock::now();
}

bool isWrite(const KeyTask& task)
{
    return std::holds_alternative<Requests::WriteKeyRow>(task.step);
}

bool needsTableAccess(const KeyStep& step)
{
    return std::holds_alternative<Requests::ReadKeyRow>(step)
        || std::holds_alternative<Requests::WriteKeyRow>(step);
}

} // namespace

class IdempotencyKeyStore::Private {
public:
    Private(Platform::TableService& table, std::string claimerName)
        : claimer(std::move(claimerName))
        , table_(table)
    {
        for (std::thread& thread : threads_)
            thread = std::thread([this] { runWorker(); });
    }

    ~Private()
    {
        {
            const std::lock_guard<std::mutex> guard(mutex_);
            stopDeadline_ = now() + stopTimeout;
        }
        tasksChanged_.notify_all();
        for (std::thread& thread : threads_)
            thread.join();
    }

    void enqueue(KeyTask task);

    std::string claimer;

private:
    void runWorker();
    std::vector<KeyTask> takeReadyTasks();
    void processTasks(std::vector<KeyTask> tasks);
    void readRow(KeyTask& task);
    void writeRows(std::vector<KeyTask>& tasks);
    void commitBatch(Requests::KeyWriteBatch& batch, const std::vector<KeyTask*>& batchTasks);
    void handleWriteResult(KeyTask& task, WriteResult result, std::uint64_t version);
    void advance(KeyTask& task, KeyStep step);
    void scheduleRelease(KeyTask& task);
    bool canStop() const;

    Platform::TableService& table_;
    std::mutex mutex_;
    std::condition_variable tasksChanged_;
    std::deque<KeyTask> pendingTasks_;
    std::optional<Utils::TimePoint> stopDeadline_;
    std::array<std::thread, workerThreadCount> threads_;
};

void IdempotencyKeyStore::Private::enqueue(KeyTask task)
{
    {
        const std::lock_guard<std::mutex> guard(mutex_);
        if (task.purpose != TaskPurpose::Claim && pendingTasks_.size() >= maxPendingTasks) {
            Utils::log(Utils::LogLevel::Warning, "key-record-dropped", { { "row", task.rowKey } });
            return;
        }
        pendingTasks_.push_back(std::move(task));
    }
    tasksChanged_.notify_one();
}

bool IdempotencyKeyStore::Private::canStop() const
{
    return stopDeadline_ && (pendingTasks_.empty() || now() >= *stopDeadline_);
}

void IdempotencyKeyStore::Private::runWorker()
{
    for (;;) {
        std::vector<KeyTask> ready;
        {
            std::unique_lock<std::mutex> lock(mutex_);
            for (ready = takeReadyTasks(); ready.empty(); ready = takeReadyTasks()) {
                if (canStop())
                    return;
                tasksChanged_.wait_for(lock, inProgressPollInterval / 4);
            }
        }
        processTasks(std::move(ready));
    }
}

std::vector<KeyTask> IdempotencyKeyStore::Private::takeReadyTasks()
{
    const Utils::TimePoint time = now();
    std::vector<KeyTask> ready;
    std::deque<KeyTask> remaining;
    std::size_t reads = 0;
    for (KeyTask& task : pendingTasks_) {
        const bool isReady = ready.size() < maxBatchTasks && task.notBefore <= time
            && (isWrite(task) || reads < maxReadsPerBatch);
        reads += isReady && !isWrite(task);
        if (isReady)
            ready.push_back(std::move(task));
        else
            remaining.push_back(std::move(task));
    }
    pendingTasks_.swap(remaining);
    return ready;
}

void IdempotencyKeyStore::Private::processTasks(std::vector<KeyTask> tasks)
{
    std::vector<KeyTask> writes;
    for (KeyTask& task : tasks) {
        if (isWrite(task))
            writes.push_back(std::move(task));
        else
            readRow(task);
    }
    if (!writes.empty())
        writeRows(writes);
}

void IdempotencyKeyStore::Private::readRow(KeyTask& task)
{
    const auto row = table_.get(task.rowKey);
    KeyStep step
        = Utils::isOk(row) ? task.claim->onRowRead(Utils::value(row)) : task.claim->onTableUnavailable();
    if (task.purpose == TaskPurpose::Claim) {
        advance(task, std::move(step));
    } else if (std::holds_alternative<Requests::KeyGranted>(step)) {
        task.step = task.claim->outcomeWrite(Requests::Outcome::NotRun, {});
        enqueue(std::move(task));
    } else if (std::holds_alternative<Requests::KeyUnavailable>(step)) {
        task.notBefore = now() + retryDelay;
        enqueue(std::move(task));
    }
}

void IdempotencyKeyStore::Private::writeRows(std::vector<KeyTask>& tasks)
{
    Requests::KeyWriteBatch batch;
    std::vector<KeyTask*> batchTasks;
    for (KeyTask& task : tasks) {
        const auto& rowWrite = std::get<Requests::WriteKeyRow>(task.step);
        const std::size_t position
            = batch.add({ task.rowKey, rowWrite.expectedVersion, rowWrite.record.SerializeAsString() });
        if (position == batchTasks.size() && batch.size() > batchTasks.size())
            batchTasks.push_back(&task);
        else
            enqueue(std::move(task)); // The batch already contains a write of this row.
    }
    commitBatch(batch, batchTasks);
}

void IdempotencyKeyStore::Private::commitBatch(
    Requests::KeyWriteBatch& batch, const std::vector<KeyTask*>& batchTasks)
{
    for (;;) {
        const Schema::CommitRequest request = batch.commitRequest(Utils::makeUniqueId());
        if (request.puts().empty())
            return;
        const auto reply = table_.commit(request);
        if (Utils::isOk(reply) && !Utils::value(reply).committed()) {
            const std::size_t position = batch.exclude(Utils::value(reply).conflicting_key());
            if (position == batch.size())
                return;
            handleWriteResult(*batchTasks[position], WriteResult::Conflict, 0);
            continue;
        }
        WriteResult result = WriteResult::Committed;
        if (!Utils::isOk(reply))
            result = Utils::error(reply).code == Utils::ErrorCode::OutcomeUnknown
                ? WriteResult::OutcomeUnknown
                : WriteResult::NotSent;
        const std::uint64_t version = Utils::isOk(reply) ? Utils::value(reply).version() : 0;
        for (std::size_t position = 0; position < batchTasks.size(); ++position) {
            if (batch.isIncluded(position))
                handleWriteResult(*batchTasks[position], result, version);
        }
        return;
    }
}

void IdempotencyKeyStore::Private::handleWriteResult(KeyTask& task, WriteResult result, std::uint64_t version)
{
    if (task.purpose != TaskPurpose::Claim) {
        // After a conflict nothing is left to write: the row has already been changed, usually by an earlier
        // attempt whose reply was lost.
        if (result == WriteResult::Committed || result == WriteResult::Conflict)
            return;
        task.notBefore = now() + retryDelay;
        enqueue(std::move(task));
        return;
    }
    if (result == WriteResult::OutcomeUnknown)
        advance(task, task.claim->onWriteOutcomeUnknown());
    else if (result == WriteResult::NotSent)
        advance(task, task.claim->onTableUnavailable());
    else
        advance(task, task.claim->onWriteAnswered(result == WriteResult::Committed, version));
}

void IdempotencyKeyStore::Private::advance(KeyTask& task, KeyStep step)
{
    const bool isDeadlinePassed = now() >= task.deadline;
    if (std::holds_alternative<Requests::KeyInProgress>(step) && !isDeadlinePassed) {
        task.step = Requests::ReadKeyRow {};
        task.notBefore = now() + inProgressPollInterval;
        enqueue(std::move(task));
        return;
    }
    if (needsTableAccess(step) && !isDeadlinePassed) {
        task.step = std::move(step);
        enqueue(std::move(task));
        return;
    }
    if (needsTableAccess(step))
        step = Requests::KeyUnavailable {};
    if (std::holds_alternative<Requests::KeyUnavailable>(step) && task.claim->mayBeWritten())
        scheduleRelease(task);
    task.callback({ std::move(step), task.claim, task.rowKey });
}

// Schedules the release of a claim that may have been written although its request will not be sent.
void IdempotencyKeyStore::Private::scheduleRelease(KeyTask& task)
{
    enqueue({ TaskPurpose::Release, task.claim, Requests::ReadKeyRow {}, task.rowKey, {}, now() + retryDelay,
        {} });
}

IdempotencyKeyStore::IdempotencyKeyStore(Platform::TableService& table, std::string claimer)
    : d_(std::make_unique<Private>(table, std::move(claimer)))
{
}

IdempotencyKeyStore::~IdempotencyKeyStore() = default;

void IdempotencyKeyStore::claim(const KeyClaimRequest& request, KeyClaimCallback callback)
{
    const auto unixMs = std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::system_clock::now().time_since_epoch());
    auto claim = std::make_shared<Requests::KeyClaim>(Requests::KeyClaimDescription {
        Utils::makeUniqueId(), d_->claimer, request.fingerprint, unixMs.count() });
    const KeyStep first = claim->start();
    d_->enqueue({ TaskPurpose::Claim, std::move(claim), first,
        Requests::keyRowName(request.service, request.key), request.deadline, {}, std::move(callback) });
}

void IdempotencyKeyStore::recordOutcome(
    const KeyClaimResult& claimResult, Requests::Outcome outcome, const Http::Response& response)
{
    Schema::KeyRecord record;
    record.set_status(response.status);
    record.set_content_type(std::string(Http::findHeader(response.headers, "Content-Type").value_or("")));
    record.set_body_omitted(response.body.size() > maxRecordedBodyBytes);
    if (!record.body_omitted())
        record.set_body(response.body);
    auto claim = std::make_shared<Requests::KeyClaim>(*claimResult.claim);
    KeyStep step = claim->outcomeWrite(outcome, record);
    d_->enqueue({ TaskPurpose::Record, std::move(claim), std::move(step), claimResult.rowKey, {}, {}, {} });
}

std::string requestFingerprint(const Http::Request& request)
{
    const std::string text = request.method + " " + request.target + "\n" + request.body;
    const XXH128_hash_t hash = XXH3_128bits(text.data(), text.size());
    char digits[33];
    std::snprintf(digits, sizeof(digits), "%016llx%016llx", static_cast<unsigned long long>(hash.high64),
        static_cast<unsigned long long>(hash.low64));
    return digits;
}

Http::Response keyClaimResponse(const KeyStep& step)
{
    using Requests::Outcome;
    const auto failed = [](unsigned status, Utils::ErrorCode code, const char* message) {
        Http::Response response
            = Internal::outcomeResponse(status, Outcome::Unknown, { code, "request.key", {}, message });
        response.headers.push_back({ "Retry-After", "1" });
        return response;
    };
    if (std::holds_alternative<Requests::KeyMismatch>(step))
        return Internal::outcomeResponse(statusUnprocessable, Outcome::NotRun,
            { Utils::ErrorCode::InvalidArgument, "request.key", {}, "the key was used for another request" });
    if (std::holds_alternative<Requests::KeyInProgress>(step))
        return failed(statusConflict, Utils::ErrorCode::Conflict, "a request with this key is in progress");
    const auto* known = std::get_if<Requests::KeyKnown>(&step);
    if (!known)
        return failed(statusUnavailable, Utils::ErrorCode::Unavailable, "the key's outcome cannot be read");
    if (known->outcome != Outcome::Completed)
        return failed(
            statusConflict, Utils::ErrorCode::OutcomeUnknown, "an earlier send has no known outcome");
    if (known->record.body_omitted())
        return Internal::outcomeResponse(statusConflict, Outcome::Completed,
            { Utils::ErrorCode::Conflict, "request.key", {},
                "completed before; the answer was too large to keep" });
    Http::Response response { known->record.status(), {}, known->record.body() };
    if (!known->record.content_type().empty())
        response.headers.push_back({ "Content-Type", known->record.content_type() });
    response.headers.push_back({ "Geraniumquay-Outcome", Requests::outcomeName(Outcome::Completed) });
    return response;
}

} // namespace Gateway
