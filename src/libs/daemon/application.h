#pragma once

#include "administration.h"
#include "commandline.h"
#include "readiness.h"

#include "http/server.h"

#include <settings.pb.h>

#include <functional>
#include <memory>
#include <string>

namespace boost::asio {
class io_context;
}

namespace google::protobuf {
class Message;
}

namespace Daemon {

/*!
    Loads a daemon's settings as its command line says and prints every fault.
    \param argc,argv as given to main().
    \param program name of the daemon.
    \param settings receives the settings.
    \param exitCode set if false is returned: the process must exit with it.
    \return true if the daemon is to run.
*/
bool loadSettings(
    int argc, char** argv, const char* program, google::protobuf::Message& settings, int& exitCode);

/*!
    Loads the settings that a command line names and prints every fault; starts the log.
    \param commandLine the parsed command line.
    \param program,settings,exitCode as for loadSettings().
    \return true if the daemon is to run.
*/
bool readSettings(
    const CommandLine& commandLine, const char* program, google::protobuf::Message& settings, int& exitCode);

/*!
    The common parts of a daemon: threads, HTTP servers, administration port and graceful stop.
*/
class Application {
public:
    /*!
        \param listen addresses, ports and number of threads.
        \param metrics writes the text of /metrics.
    */
    Application(const Schema::ListenSettings& listen, MetricsWriter metrics);
    ~Application();
    Application(const Application&) = delete;
    Application& operator=(const Application&) = delete;

    /*! \return the context whose operations the daemon's threads run. */
    boost::asio::io_context& context();

    /*! \return the conditions shown by /readyz. */
    Readiness& readiness();

    /*!
        Adds an HTTP server on the daemon's main port.
        \param maxBodyBytes larger bodies are answered 413.
        \param handler called for each request.
    */
    void serve(std::uint64_t maxBodyBytes, Http::Handler handler);

    /*!
        Runs until SIGTERM or SIGINT, then stops gracefully: the readiness fails first, the requests in
        progress are finished, then the call returns.
        \param beforeStop called when the signal comes, before the servers stop; it may block.
        \param afterRequests called when the last request is finished; it may block.
        \return the exit code of the process.
    */
    int run(const std::function<void()>& beforeStop, const std::function<void()>& afterRequests = {});

private:
    class Private;
    std::unique_ptr<Private> d_;
};

} // namespace Daemon
