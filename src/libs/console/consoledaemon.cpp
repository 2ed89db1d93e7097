#include "consoledaemon.h"

#include "consolehandler.h"
#include "daemon/application.h"
#include "http/headers.h"
#include "node/nodeservices.h"
#include "utils/log/log.h"

#include <settings.pb.h>

#include <boost/asio/post.hpp>
#include <boost/asio/thread_pool.hpp>

#include <atomic>
#include <optional>

namespace Console {

namespace {

constexpr std::size_t workerThreadCount = 8;
constexpr int maxPendingRequests = 256;
constexpr std::uint64_t maxBodyBytes = 1U << 20U;
constexpr unsigned statusUnavailable = 503;

} // namespace

class ConsoleDaemon::Private {
public:
    explicit Private(const Schema::ConsoleDaemonSettings& settings)
        : settings_(settings)
        , application_(settings.listen(), [this] { return node_.metrics(); })
        , node_(Node::sharedSettings(settings, "console"), application_.readiness(), handlers())
    {
        application_.serve(maxBodyBytes, [this](Http::Request request, Http::Responder respond) {
            handle(std::move(request), std::move(respond));
        });
    }

    ~Private() { workerThreads_.join(); }

    int run()
    {
        auto token = OperatorToken::read(settings_.security().operator_token_file());
        if (!Utils::isOk(token)) {
            Utils::logError("start-failed", Utils::error(token));
            return Daemon::ExitUsage;
        }
        handler_.emplace(sources(), Utils::value(std::move(token)));
        const auto status = node_.start();
        if (!Utils::isOk(status)) {
            Utils::logError("start-failed", Utils::error(status));
            return Utils::error(status).code == Utils::ErrorCode::InvalidArgument ? Daemon::ExitUsage
                                                                                  : Daemon::ExitFailure;
        }
        return application_.run([this] { node_.stop(); });
    }

private:
    static Node::NodeHandlers handlers()
    {
        Node::NodeHandlers result;
        result.policyChanged = [](const Schema::PolicyDocument&) {};
        result.vmsListed = [](std::span<const Schema::VmEntry* const>) {};
        return result;
    }

    ConsoleSources sources()
    {
        return { node_.table(),
            [this] {
                const auto inForce = node_.configuration().current();
                return inForce ? inForce->accepted : Schema::AcceptedConfiguration();
            },
            [this] { return node_.peers().members(); }, [this] { return node_.peers().fetchBurnSamples(); },
            [this] { node_.pollConfigurationNow(); } };
    }

    // The handler blocks, so it runs on separate threads.
    void handle(Http::Request request, Http::Responder respond)
    {
        if (++pendingRequests_ > maxPendingRequests) {
            --pendingRequests_;
            return respond(Http::jsonResponse(statusUnavailable,
                R"({"error":"refused","step":"console.admit","peer":"","message":"too many requests"})"));
        }
        boost::asio::post(
            workerThreads_, [this, movedRequest = std::move(request), movedRespond = std::move(respond)] {
                Http::Response response = handler_->handle(movedRequest);
                --pendingRequests_;
                movedRespond(std::move(response));
            });
    }

    Schema::ConsoleDaemonSettings settings_;
    Daemon::Application application_;
    Node::NodeServices node_;
    std::optional<ConsoleHandler> handler_;
    std::atomic<int> pendingRequests_ = 0;
    boost::asio::thread_pool workerThreads_ { workerThreadCount };
};

ConsoleDaemon::ConsoleDaemon(const Schema::ConsoleDaemonSettings& settings)
    : d_(std::make_unique<Private>(settings))
{
}

ConsoleDaemon::~ConsoleDaemon() = default;

int ConsoleDaemon::run()
{
    return d_->run();
}

} // namespace Console
