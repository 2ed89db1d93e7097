#include "keyledger.h"

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

constexpr std::size_t workerCount = 4;
constexpr std::size_t maxBatch = 128;
constexpr std::size_t maxReads = 4; // Of one worker before it looks for writes again.
constexpr std::size_t maxPendingRecords = 20000;
constexpr std::size_t maxKeptBodyBytes = 64U << 10U;
constexpr Utils::Duration progressPoll = std::chrono::milliseconds(100);
constexpr Utils::Duration retryPause = std::chrono::milliseconds(300);
constexpr Utils::Duration stopGrace = std::chrono::seconds(3);
constexpr unsigned statusConflict = 409;
constexpr unsigned statusUnprocessable = 422;
constexpr unsigned statusUnavailable = 503;

enum class Purpose { Claim, Record, Release };

enum class WriteEnd { Committed, Conflict, Lost, NotSent };

struct Task {
    Purpose purpose = Purpose::Claim;
    std::shared_ptr<Requests::KeyClaim> claim;
    KeyStep step;
    std::string row;
    Utils::TimePoint deadline {};
    Utils::TimePoint notBefore {};
    KeyDecided decided;
};

Utils::TimePoint now()
{
    return std::chrono::steady_clock::now();
}

bool isWrite(const Task& task)
{
    return std::holds_alternative<Requests::WriteKeyRow>(task.step);
}

bool isOpen(const KeyStep& step)
{
    return std::holds_alternative<Requests::ReadKeyRow>(step)
        || std::holds_alternative<Requests::WriteKeyRow>(step);
}

} // namespace

class KeyLedger::Private {
public:
    Private(Platform::TableService& service, std::string name)
        : claimer(std::move(name))
        , table_(service)
    {
        for (std::thread& worker : workers_)
            worker = std::thread([this] { loop(); });
    }

    ~Private()
    {
        {
            const std::lock_guard<std::mutex> guard(mutex_);
            stopBy_ = now() + stopGrace;
        }
        changed_.notify_all();
        for (std::thread& worker : workers_)
            worker.join();
    }

    void add(Task task);

    std::string claimer;

private:
    void loop();
    std::vector<Task> take();
    void run(std::vector<Task> tasks);
    void read(Task& task);
    void write(std::vector<Task>& tasks);
    void commit(Requests::KeyWriteBatch& batch, const std::vector<Task*>& members);
    void written(Task& task, WriteEnd end, std::uint64_t version);
    void advance(Task& task, KeyStep step);
    void release(Task& task);
    bool mayStop() const;

    Platform::TableService& table_;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::deque<Task> tasks_;
    std::optional<Utils::TimePoint> stopBy_;
    std::array<std::thread, workerCount> workers_;
};

void KeyLedger::Private::add(Task task)
{
    {
        const std::lock_guard<std::mutex> guard(mutex_);
        if (task.purpose != Purpose::Claim && tasks_.size() >= maxPendingRecords) {
            Utils::log(Utils::LogLevel::Warning, "key-record-dropped", { { "row", task.row } });
            return;
        }
        tasks_.push_back(std::move(task));
    }
    changed_.notify_one();
}

bool KeyLedger::Private::mayStop() const
{
    return stopBy_ && (tasks_.empty() || now() >= *stopBy_);
}

void KeyLedger::Private::loop()
{
    for (;;) {
        std::vector<Task> taken;
        {
            std::unique_lock<std::mutex> lock(mutex_);
            for (taken = take(); taken.empty(); taken = take()) {
                if (mayStop())
                    return;
                changed_.wait_for(lock, progressPoll / 4);
            }
        }
        run(std::move(taken));
    }
}

std::vector<Task> KeyLedger::Private::take()
{
    const Utils::TimePoint time = now();
    std::vector<Task> taken;
    std::deque<Task> left;
    std::size_t reads = 0;
    for (Task& task : tasks_) {
        const bool fits
            = taken.size() < maxBatch && task.notBefore <= time && (isWrite(task) || reads < maxReads);
        reads += fits && !isWrite(task);
        if (fits)
            taken.push_back(std::move(task));
        else
            left.push_back(std::move(task));
    }
    tasks_.swap(left);
    return taken;
}

void KeyLedger::Private::run(std::vector<Task> tasks)
{
    std::vector<Task> writes;
    for (Task& task : tasks) {
        if (isWrite(task))
            writes.push_back(std::move(task));
        else
            read(task);
    }
    if (!writes.empty())
        write(writes);
}

void KeyLedger::Private::read(Task& task)
{
    const auto row = table_.get(task.row);
    KeyStep step
        = Utils::isOk(row) ? task.claim->onRowRead(Utils::value(row)) : task.claim->onTableUnavailable();
    if (task.purpose == Purpose::Claim) {
        advance(task, std::move(step));
    } else if (std::holds_alternative<Requests::KeyGranted>(step)) {
        task.step = task.claim->outcomeWrite(Requests::Outcome::NotRun, {});
        add(std::move(task));
    } else if (std::holds_alternative<Requests::KeyUnavailable>(step)) {
        task.notBefore = now() + retryPause;
        add(std::move(task));
    }
}

void KeyLedger::Private::write(std::vector<Task>& tasks)
{
    Requests::KeyWriteBatch batch;
    std::vector<Task*> members;
    for (Task& task : tasks) {
        const auto& write = std::get<Requests::WriteKeyRow>(task.step);
        const std::size_t position
            = batch.add({ task.row, write.expectedVersion, write.record.SerializeAsString() });
        if (position == members.size() && batch.size() > members.size())
            members.push_back(&task);
        else
            add(std::move(task)); // Another write of the same row is in this batch.
    }
    commit(batch, members);
}

void KeyLedger::Private::commit(Requests::KeyWriteBatch& batch, const std::vector<Task*>& members)
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
            written(*members[position], WriteEnd::Conflict, 0);
            continue;
        }
        WriteEnd end = WriteEnd::Committed;
        if (!Utils::isOk(reply))
            end = Utils::error(reply).code == Utils::ErrorCode::OutcomeUnknown ? WriteEnd::Lost
                                                                               : WriteEnd::NotSent;
        const std::uint64_t version = Utils::isOk(reply) ? Utils::value(reply).version() : 0;
        for (std::size_t position = 0; position < members.size(); ++position) {
            if (batch.isIncluded(position))
                written(*members[position], end, version);
        }
        return;
    }
}

void KeyLedger::Private::written(Task& task, WriteEnd end, std::uint64_t version)
{
    if (task.purpose != Purpose::Claim) {
        // A record whose condition does not hold was written before.
        if (end == WriteEnd::Committed || end == WriteEnd::Conflict)
            return;
        task.notBefore = now() + retryPause;
        add(std::move(task));
        return;
    }
    if (end == WriteEnd::Lost)
        advance(task, task.claim->onWriteOutcomeUnknown());
    else if (end == WriteEnd::NotSent)
        advance(task, task.claim->onTableUnavailable());
    else
        advance(task, task.claim->onWriteAnswered(end == WriteEnd::Committed, version));
}

void KeyLedger::Private::advance(Task& task, KeyStep step)
{
    const bool late = now() >= task.deadline;
    if (std::holds_alternative<Requests::KeyInProgress>(step) && !late) {
        task.step = Requests::ReadKeyRow {};
        task.notBefore = now() + progressPoll;
        add(std::move(task));
        return;
    }
    if (isOpen(step) && !late) {
        task.step = std::move(step);
        add(std::move(task));
        return;
    }
    if (isOpen(step))
        step = Requests::KeyUnavailable {};
    if (std::holds_alternative<Requests::KeyUnavailable>(step) && task.claim->mayBeWritten())
        release(task);
    task.decided({ std::move(step), task.claim, task.row });
}

// The claim may stand in the table although the request is not sent.
void KeyLedger::Private::release(Task& task)
{
    add({ Purpose::Release, task.claim, Requests::ReadKeyRow {}, task.row, {}, now() + retryPause, {} });
}

KeyLedger::KeyLedger(Platform::TableService& table, std::string claimer)
    : d_(std::make_unique<Private>(table, std::move(claimer)))
{
}

KeyLedger::~KeyLedger() = default;

void KeyLedger::claim(const KeyUse& use, KeyDecided decided)
{
    const auto unixMs = std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::system_clock::now().time_since_epoch());
    auto claim = std::make_shared<Requests::KeyClaim>(Requests::KeyClaimDescription {
        Utils::makeUniqueId(), d_->claimer, use.fingerprint, unixMs.count() });
    const KeyStep first = claim->start();
    d_->add({ Purpose::Claim, std::move(claim), first, Requests::keyRowName(use.service, use.key),
        use.deadline, {}, std::move(decided) });
}

void KeyLedger::record(const KeyDecision& decision, Requests::Outcome outcome, const Http::Response& answer)
{
    Schema::KeyRecord record;
    record.set_status(answer.status);
    record.set_content_type(std::string(Http::findHeader(answer.headers, "Content-Type").value_or("")));
    record.set_body_omitted(answer.body.size() > maxKeptBodyBytes);
    if (!record.body_omitted())
        record.set_body(answer.body);
    auto claim = std::make_shared<Requests::KeyClaim>(*decision.claim);
    KeyStep write = claim->outcomeWrite(outcome, record);
    d_->add({ Purpose::Record, std::move(claim), std::move(write), decision.row, {}, {}, {} });
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

Http::Response keyResponse(const KeyStep& step)
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
