#include "standinserver.h"

#include "http/headers.h"
#include "utils/log/log.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <getopt.h>

#include <csignal>
#include <cstdlib>

namespace StandIns {

namespace {

namespace Asio = boost::asio;

std::uint16_t parsePort(int argc, char** argv)
{
    static const option options[]
        = { { "port", required_argument, nullptr, 'p' }, { nullptr, 0, nullptr, 0 } };
    std::uint16_t port = 0;
    while (getopt_long(argc, argv, "", options, nullptr) != -1)
        port = static_cast<std::uint16_t>(std::atoi(optarg));
    return port;
}

void setFault(Faults& faults, const Http::Target& target, const Http::Responder& respond)
{
    faults.set(target.value("name"), std::atol(std::string(target.value("value")).c_str()));
    respond(Http::jsonResponse(200, "{}"));
}

} // namespace

int runStandIn(int argc, char** argv, const char* program, Faults& faults, Asio::io_context& context,
    StandInHandler handler)
{
    Utils::initializeLog(program, Utils::LogLevel::Info);
    Http::ServerOptions options;
    options.port = parsePort(argc, argv);
    options.maxBodyBytes = 64U << 20U;
    Http::Server server(
        context, options, [&faults, &handler](const Http::Request& request, const Http::Responder& respond) {
            const Http::Target target = Http::parseTarget(request.target);
            if (target.path == "/fault")
                return setFault(faults, target, respond);
            handler(request, target, respond);
        });
    const auto status = server.start();
    if (!Utils::isOk(status)) {
        Utils::logError("listen-failed", Utils::error(status));
        return EXIT_FAILURE;
    }
    Utils::log(Utils::LogLevel::Info, "listening",
        { { "name", "main" }, { "port", std::to_string(server.port()) } });
    Asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&context](boost::system::error_code, int) { context.stop(); });
    context.run();
    return EXIT_SUCCESS;
}

void respondAfter(
    Asio::io_context& context, long delayMs, const Http::Responder& respond, Http::Response response)
{
    if (delayMs <= 0)
        return respond(std::move(response));
    auto timer = std::make_shared<Asio::steady_timer>(context, std::chrono::milliseconds(delayMs));
    timer->async_wait([timer, respond, movedResponse = std::move(response)](
                          boost::system::error_code) { respond(movedResponse); });
}

} // namespace StandIns
