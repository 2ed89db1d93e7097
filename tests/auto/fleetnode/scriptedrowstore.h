#pragma once

#include <fleetnode/nodecontext.h>
#include <utils/bootclock.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <deque>
#include <functional>
#include <map>
#include <utility>
#include <vector>

namespace Testing {

/*! In-memory row store that checks conditions and can lose, reject or delay transactions. */
class ScriptedRowStore final : public Ports::RowStore {
public:
    /*! How the store handles a transaction. */
    enum class CommitBehavior {
        Answer,
        LoseReply, //!< Applied, but reported as OutcomeUnknown.
        LoseRequest, //!< Not applied, but reported as OutcomeUnknown.
        Refuse,
        Hold, //!< Applied and answered by releaseHeldCommits().
    };

    explicit ScriptedRowStore(boost::asio::io_context& io)
        : io_(io)
    {
    }

    void commit(const Ports::Transaction& transaction, TransactionHandler handler) override
    {
        ++commitCount;
        CommitBehavior behavior = CommitBehavior::Answer;
        if (!commitBehaviors.empty()) {
            behavior = commitBehaviors.front();
            commitBehaviors.pop_front();
        }
        if (isInvalid && isInvalid(transaction)) {
            const Utils::Error error { Utils::ErrorCode::InvalidArgument, "commit", "store", "status 400" };
            boost::asio::post(io_, [handler = std::move(handler), error] { handler(error); });
            return;
        }
        if (behavior == CommitBehavior::Hold) {
            heldCommits_.emplace_back(transaction, std::move(handler));
            return;
        }
        Utils::Result<Ports::TransactionOutcome> result
            = Utils::Error { Utils::ErrorCode::OutcomeUnknown, "commit", "store", "no answer" };
        if (behavior == CommitBehavior::Refuse)
            result = Utils::Error { Utils::ErrorCode::Refused, "commit", "store", "busy" };
        if (behavior == CommitBehavior::Answer || behavior == CommitBehavior::LoseReply) {
            const Ports::TransactionOutcome outcome = apply(transaction);
            if (behavior == CommitBehavior::Answer)
                result = outcome;
        }
        boost::asio::post(io_, [handler = std::move(handler), result] { handler(result); });
    }

    /*! Applies and answers the held transactions. */
    void releaseHeldCommits()
    {
        for (auto& [transaction, handler] : std::exchange(heldCommits_, {}))
            boost::asio::post(
                io_, [handler = std::move(handler), outcome = apply(transaction)] { handler(outcome); });
    }

    void read(const Ports::RowRange& range, PageHandler handler) override
    {
        ++readCount;
        if (failingReads > 0) {
            --failingReads;
            const Utils::Error error { Utils::ErrorCode::OutcomeUnknown, "read", "store", "no answer" };
            boost::asio::post(io_, [handler = std::move(handler), error] { handler(error); });
            return;
        }
        Ports::RowPage page;
        page.version = version_;
        page.storeMs = clockMs ? clockMs() : 0;
        if (!pages.empty()) {
            page = pages.front();
            if (pages.size() > 1)
                pages.pop_front();
            boost::asio::post(io_, [handler = std::move(handler), page] { handler(page); });
            return;
        }
        for (const auto& [name, row] : rows) {
            if (name.table == range.table && name.partition == range.partition && name.key >= range.from)
                page.rows.push_back(row);
        }
        boost::asio::post(io_, [handler = std::move(handler), page] { handler(page); });
    }

    void follow(const std::string&, std::uint64_t, Utils::Duration, PageHandler handler) override
    {
        if (changes.empty())
            return;
        boost::asio::post(io_, [handler = std::move(handler), page = changes.front()] { handler(page); });
        changes.pop_front();
    }

    std::map<Ports::RowKey, Ports::Row> rows;
    std::deque<CommitBehavior> commitBehaviors; //!< For the next transactions; Answer once they are used up.
    std::deque<Ports::RowPage> pages; //!< If any, read() returns them in turn and then the last one again.
    std::deque<Ports::RowPage> changes; //!< For the next calls of follow(), which then no longer answers.
    std::function<std::int64_t()> clockMs; //!< Clock that answers state; empty: they state none.
    std::function<bool(const Ports::Transaction&)> isInvalid; //!< If set, says what the store never accepts.
    int commitCount = 0;
    int failingReads = 0; //!< The next reads, which fail.
    int readCount = 0;

private:
    std::vector<std::pair<Ports::Transaction, TransactionHandler>> heldCommits_;

    Ports::TransactionOutcome apply(const Ports::Transaction& transaction)
    {
        Ports::TransactionOutcome outcome;
        outcome.isCommitted = true;
        outcome.storeMs = clockMs ? clockMs() : 0;
        for (const Ports::RowCondition& condition : transaction.conditions) {
            const auto found = rows.find(condition.name);
            if ((found == rows.end() ? 0 : found->second.version) != condition.version)
                outcome.isCommitted = false;
            if (found != rows.end())
                outcome.current.push_back(found->second);
        }
        if (!outcome.isCommitted)
            return outcome;
        ++version_;
        for (const Ports::RowPut& put : transaction.puts)
            rows[put.name] = { put.name, put.value, version_, false };
        for (const Ports::RowKey& name : transaction.removals)
            rows.erase(name);
        outcome.version = version_;
        return outcome;
    }

    boost::asio::io_context& io_;
    std::uint64_t version_ = 10;
};

/*! Context for components of a node, with an in-memory store. */
struct NodeFixture {
    NodeFixture()
    {
        settings.mutable_node()->set_name("node-1");
        settings.mutable_table()->set_row_bytes(65'536);
        settings.mutable_dispatch()->set_finish_ms(14'000);
        settings.mutable_dispatch()->set_contact_ms(4000);
        settings.mutable_dispatch()->set_worker_expiry_ms(4500);
    }

    boost::asio::io_context io { 1 };
    Utils::BootClock clock;
    ScriptedRowStore store { io };
    Ports::PlatformBinding platform;
    Schema::NodeDaemonSettings settings;
    Telemetry::Metrics metrics;
    FleetNode::NodeContext context { io, clock, store, platform, settings, metrics, 77 };
};

} // namespace Testing
