#include "application.h"

#include "settings/settingsfile.h"
#include "utils/log/log.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <google/protobuf/descriptor.h>
#include <google/protobuf/message.h>

#include <csignal>
#include <iostream>
#include <latch>
#include <optional>
#include <thread>
#include <vector>

namespace Daemon {

namespace {

namespace Asio = boost::asio;

Utils::LogLevel logLevel(const google::protobuf::Message& settings)
{
    const auto* field = settings.GetDescriptor()->FindFieldByName("log");
    if (!field)
        return Utils::LogLevel::Info;
    const auto& log = settings.GetReflection()->GetMessage(settings, field);
    return Utils::parseLogLevel(dynamic_cast<const Schema::LogSettings&>(log).level());
}

Http::ServerOptions serverOptions(const Schema::ListenSettings& listen, std::uint32_t port)
{
    Http::ServerOptions options;
    options.address = listen.address();
    options.port = static_cast<std::uint16_t>(port);
    return options;
}

} // namespace

bool loadSettings(
    int argc, char** argv, const char* program, google::protobuf::Message& settings, int& exitCode)
{
    const auto commandLine = parseCommandLine(argc, argv, program, exitCode);
    return commandLine && readSettings(*commandLine, program, settings, exitCode);
}

bool readSettings(
    const CommandLine& commandLine, const char* program, google::protobuf::Message& settings, int& exitCode)
{
    const auto faults = Settings::readFile(commandLine.configFile, settings);
    if (!faults.empty()) {
        std::cerr << Settings::faultsToString(faults);
        exitCode = ExitUsage;
        return false;
    }
    exitCode = ExitSuccess;
    if (commandLine.checkOnly)
        std::cout << commandLine.configFile << ": valid\n";
    else
        Utils::initializeLog(program, logLevel(settings));
    return !commandLine.checkOnly;
}

class Application::Private {
public:
    Private(const Schema::ListenSettings& listen, MetricsWriter metrics)
        : listen_(listen)
        , administration_(administrationContext_, serverOptions(listen, listen.administration_port()),
              administrationHandler(readiness_, std::move(metrics)))
    {
        signals_.add(SIGTERM);
        signals_.add(SIGINT);
    }

    Asio::io_context& context() { return context_; }
    Readiness& readiness() { return readiness_; }

    void serve(std::uint64_t maxBodyBytes, Http::Handler handler)
    {
        Http::ServerOptions options = serverOptions(listen_, listen_.port());
        options.maxBodyBytes = maxBodyBytes;
        server_.emplace(context_, options, std::move(handler));
    }

    int run(const std::function<void()>& beforeStop, const std::function<void()>& afterRequests);

private:
    bool start(Http::Server& server, std::string_view name);
    void waitForSignal();
    void finishRequests();

    Schema::ListenSettings listen_;
    Readiness readiness_;
    Asio::io_context context_;
    Asio::io_context administrationContext_;
    Asio::io_context signalContext_;
    Asio::signal_set signals_ { signalContext_ };
    Http::Server administration_;
    std::optional<Http::Server> server_;
};

bool Application::Private::start(Http::Server& server, std::string_view name)
{
    const auto status = server.start();
    if (!Utils::isOk(status)) {
        Utils::log(Utils::LogLevel::Error, "listen-failed",
            { { "name", std::string(name) }, { "peer", Utils::error(status).peer },
                { "message", Utils::error(status).message } });
        return false;
    }
    Utils::log(Utils::LogLevel::Info, "listening",
        { { "name", std::string(name) }, { "address", listen_.address() },
            { "port", std::to_string(server.port()) } });
    return true;
}

void Application::Private::waitForSignal()
{
    signals_.async_wait([](boost::system::error_code, int number) {
        Utils::log(Utils::LogLevel::Info, "stopping", { { "signal", std::to_string(number) } });
    });
    signalContext_.run();
}

void Application::Private::finishRequests()
{
    if (!server_)
        return;
    std::latch finished(1);
    server_->stop([&finished] { finished.count_down(); });
    finished.wait();
}

int Application::Private::run(
    const std::function<void()>& beforeStop, const std::function<void()>& afterRequests)
{
    if (!start(administration_, "administration") || (server_ && !start(*server_, "main")))
        return ExitFailure;
    const auto workGuard = Asio::make_work_guard(context_);
    const auto administrationWorkGuard = Asio::make_work_guard(administrationContext_);
    std::vector<std::thread> threads;
    threads.reserve(listen_.threads() + 1);
    threads.emplace_back([this] { administrationContext_.run(); });
    for (std::uint32_t i = 0; i < listen_.threads(); ++i)
        threads.emplace_back([this] { context_.run(); });
    waitForSignal();
    readiness_.set("stopping", "the process is stopping");
    if (beforeStop)
        beforeStop();
    finishRequests();
    if (afterRequests)
        afterRequests();
    context_.stop();
    administrationContext_.stop();
    for (std::thread& thread : threads)
        thread.join();
    Utils::log(Utils::LogLevel::Info, "stopped");
    return ExitSuccess;
}

Application::Application(const Schema::ListenSettings& listen, MetricsWriter metrics)
    : d_(std::make_unique<Private>(listen, std::move(metrics)))
{
}

Application::~Application() = default;

Asio::io_context& Application::context()
{
    return d_->context();
}

Readiness& Application::readiness()
{
    return d_->readiness();
}

void Application::serve(std::uint64_t maxBodyBytes, Http::Handler handler)
{
    d_->serve(maxBodyBytes, std::move(handler));
}

int Application::run(const std::function<void()>& beforeStop, const std::function<void()>& afterRequests)
{
    return d_->run(beforeStop, afterRequests);
}

} // namespace Daemon
