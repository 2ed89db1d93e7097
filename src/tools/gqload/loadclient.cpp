#include "loadclient.h"

#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <optional>

namespace Load {

namespace {

namespace Asio = boost::asio;
namespace Beast = boost::beast;

constexpr unsigned http11 = 11;
constexpr auto exchangeTimeout = std::chrono::seconds(30);

Utils::TimePoint now()
{
    return std::chrono::steady_clock::now();
}

// A connection that sends one request after the other.
class LoadConnection {
public:
    LoadConnection(
        const LoadOptions& options, Asio::io_context& context, std::uint32_t index, Utils::TimePoint begin)
        : options_(options)
        , context_(context)
        , startedAt_(begin)
        , endsAt_(begin + options.duration)
        , plannedAt_(begin)
    {
        if (options.requestsPerSecond == 0)
            return;
        const auto second = Utils::Duration(std::chrono::seconds(1));
        interval_ = second * options.connections / options.requestsPerSecond;
        plannedAt_ += second * index / options.requestsPerSecond;
    }

    void run(const Asio::yield_context& yield)
    {
        const auto message = makeMessage();
        while (waitForNextSend(yield))
            exchange(message, yield);
        report_.elapsed = now() - startedAt_;
    }

    const LoadReport& report() const { return report_; }

private:
    using Message = Beast::http::request<Beast::http::string_body>;

    Message makeMessage() const
    {
        Message message;
        message.version(http11);
        message.method_string(options_.method);
        message.target(options_.target);
        message.set("Geraniumquay-Deadline-Ms", options_.deadlineMs);
        if (!options_.priorityClass.empty())
            message.set("Geraniumquay-Class", options_.priorityClass);
        message.body() = std::string(options_.bodyBytes, 'x');
        message.prepare_payload();
        return message;
    }

    // Returns false once the run is over.
    bool waitForNextSend(const Asio::yield_context& yield)
    {
        if (options_.requestsPerSecond == 0) {
            plannedAt_ = now();
            return plannedAt_ < endsAt_;
        }
        plannedAt_ += interval_;
        if (plannedAt_ >= endsAt_)
            return false;
        boost::system::error_code ignored;
        Asio::steady_timer timer(context_, plannedAt_);
        timer.async_wait(yield[ignored]);
        return true;
    }

    void exchange(const Message& message, const Asio::yield_context& yield)
    {
        boost::system::error_code failure;
        if (!stream_) {
            stream_.emplace(context_);
            buffer_.clear();
            stream_->async_connect(
                { Asio::ip::make_address(options_.address), options_.port }, yield[failure]);
            if (!failure)
                stream_->socket().set_option(Asio::ip::tcp::no_delay(true));
        }
        Beast::http::response<Beast::http::string_body> answer;
        if (!failure) {
            stream_->expires_after(exchangeTimeout);
            Beast::http::async_write(*stream_, message, yield[failure]);
        }
        if (!failure)
            Beast::http::async_read(*stream_, buffer_, answer, yield[failure]);
        if (failure) {
            ++report_.brokenExchanges;
            stream_.reset();
            return;
        }
        recordAnswer(answer);
    }

    void recordAnswer(const Beast::http::response<Beast::http::string_body>& answer)
    {
        report_.latencies.push_back(now() - plannedAt_);
        const auto outcome = answer.find("Geraniumquay-Outcome");
        ++report_.outcomes[outcome == answer.end() ? std::to_string(answer.result_int())
                                                   : std::string(outcome->value())];
        if (!answer.keep_alive())
            stream_.reset();
    }

    const LoadOptions& options_;
    Asio::io_context& context_;
    Utils::TimePoint startedAt_;
    Utils::TimePoint endsAt_;
    Utils::TimePoint plannedAt_;
    Utils::Duration interval_ {};
    std::optional<Beast::tcp_stream> stream_;
    Beast::flat_buffer buffer_;
    LoadReport report_;
};

} // namespace

LoadReport runLoad(const LoadOptions& options)
{
    Asio::io_context context(1);
    std::vector<std::unique_ptr<LoadConnection>> connections;
    const Utils::TimePoint begin = now();
    for (std::uint32_t i = 0; i < options.connections; ++i) {
        connections.push_back(std::make_unique<LoadConnection>(options, context, i, begin));
        Asio::spawn(
            context,
            [connection = connections.back().get()](
                const Asio::yield_context& yield) { connection->run(yield); },
            Asio::detached);
    }
    context.run();
    LoadReport report;
    for (const auto& connection : connections)
        report.add(connection->report());
    return report;
}

} // namespace Load
