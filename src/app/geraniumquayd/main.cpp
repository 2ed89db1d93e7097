#include "daemon/application.h"
#include "fleetnode/node.h"
#include "fleetnode/nodelimits.h"
#include "http/clientconnection.h"
#include "platform/callercodec.h"
#include "platform/names.h"
#include "platform/queuecodec.h"
#include "platform/tablestore.h"
#include "platform/workerclient.h"
#include "platform/workerentrycodec.h"
#include "settings/settingsfile.h"
#include "utils/bootclock.h"
#include "utils/log/log.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include <csignal>

namespace {

Ports::PlatformBinding bindPlatform(
    boost::asio::io_context& io, const std::shared_ptr<Http::ByteBudget>& responseBudget)
{
    Ports::PlatformBinding binding;
    binding.operatorTable = UsersPlatform::operatorTable;
    binding.configurationKey = UsersPlatform::configurationKey;
    binding.evacuationKeyPrefix = UsersPlatform::evacuationKeyPrefix;
    binding.workerTable = UsersPlatform::workerTable;
    binding.decodeConfiguration = UsersPlatform::decodeConfiguration;
    binding.decodeWorker = UsersPlatform::decodeWorker;
    binding.decodeRequest = UsersPlatform::decodeRequest;
    binding.encodeResponse = UsersPlatform::encodeResponse;
    binding.makeWorkerAgent
        = [&io, responseBudget](const Ports::WorkerInfo& worker) -> std::unique_ptr<Ports::WorkerAgent> {
        // Entries with an invalid address have already been ignored when the worker list was read.
        const auto endpoint = Http::parseEndpoint(worker.address);
        return std::make_unique<UsersPlatform::WorkerClient>(
            io, Utils::isOk(endpoint) ? Utils::value(endpoint) : Http::Endpoint(), worker.id, responseBudget);
    };
    return binding;
}

// Only applies the sections [dispatch] and [log]; changed addresses are ignored, because the listening
// sockets are already bound.
void reloadSettings(const std::string& path, Schema::NodeDaemonSettings& settings)
{
    Schema::NodeDaemonSettings newSettings;
    const std::vector<Settings::Fault> faults = Settings::readFile(path, newSettings);
    if (!faults.empty()) {
        Utils::log(Utils::LogLevel::Error, "settings-refused", { { "fault", faults.front().toString() } });
        return;
    }
    *settings.mutable_dispatch() = newSettings.dispatch();
    *settings.mutable_log() = newSettings.log();
    Utils::initializeLog("geraniumquayd", Utils::parseLogLevel(settings.log().level()));
    Utils::log(Utils::LogLevel::Info, "settings-reloaded", {});
}

int run(const std::string& path, Schema::NodeDaemonSettings& settings)
{
    boost::asio::io_context io(1);
    const Utils::BootClock clock;
    Telemetry::Metrics metrics;
    const auto endpoint = Http::parseEndpoint(settings.table().endpoint());
    if (!Utils::isOk(endpoint)) {
        Utils::logError("settings-refused", Utils::error(endpoint));
        return Daemon::ExitUsage;
    }
    const std::shared_ptr<Http::ByteBudget> responseBudget = FleetNode::makeResponseBudget(settings.limits());
    UsersPlatform::TableStore store(
        io, Utils::value(endpoint), std::chrono::milliseconds(settings.table().timeout_ms()), responseBudget);
    const Ports::PlatformBinding platform = bindPlatform(io, responseBudget);
    FleetNode::NodeContext context { io, clock, store, platform, settings, metrics,
        static_cast<std::uint64_t>(FleetNode::NodeContext::nowUnixMs()), responseBudget };
    FleetNode::Node node(context);
    const Utils::Status status = node.start();
    if (!Utils::isOk(status)) {
        Utils::logError("start-failed", Utils::error(status));
        return Daemon::ExitFailure;
    }
    Utils::log(Utils::LogLevel::Info, "started",
        { { "node", settings.node().name() }, { "callers", settings.endpoints().callers() } });
    boost::asio::signal_set stopSignals(io, SIGTERM, SIGINT);
    stopSignals.async_wait([&](boost::system::error_code code, int) {
        if (code)
            return;
        Utils::log(Utils::LogLevel::Info, "stopping", {});
        node.stop([&io] { io.stop(); });
    });
    boost::asio::signal_set reloadSignals(io, SIGHUP);
    std::function<void()> waitForReload = [&] {
        reloadSignals.async_wait([&](boost::system::error_code code, int) {
            if (code)
                return;
            reloadSettings(path, settings);
            waitForReload();
        });
    };
    waitForReload();
    io.run();
    Utils::log(Utils::LogLevel::Info, "stopped", {});
    return Daemon::ExitSuccess;
}

} // namespace

int main(int argc, char** argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    int exitCode = Daemon::ExitSuccess;
    const auto commandLine = Daemon::parseCommandLine(argc, argv, "geraniumquayd", exitCode);
    if (!commandLine)
        return exitCode;
    Schema::NodeDaemonSettings settings;
    if (!Daemon::readSettings(*commandLine, "geraniumquayd", settings, exitCode))
        return exitCode;
    return run(commandLine->configFile, settings);
}
