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
    Parses the command line of a daemon and reads its settings file as readSettings() does.
    \param program name of the daemon for messages.
    \param exitCode receives the exit code to use if false is returned.
    \return false if the process must exit.
*/
bool loadSettings(
    int argc, char** argv, const char* program, google::protobuf::Message& settings, int& exitCode);

/*!
    Reads the settings file given on the command line, prints its faults and initializes the log.
    \param program,exitCode as for loadSettings().
    \return false if the process must exit: on faults, and with --check.
*/
bool readSettings(
    const CommandLine& commandLine, const char* program, google::protobuf::Message& settings, int& exitCode);

/*!
    Base functionality of a daemon: threads, HTTP servers, the administration port and graceful shutdown.
*/
class Application {
public:
    /*!
        \param listen addresses, ports and number of threads.
        \param metrics called for /metrics.
    */
    Application(const Schema::ListenSettings& listen, MetricsWriter metrics);
    ~Application();
    Application(const Application&) = delete;
    Application& operator=(const Application&) = delete;

    /*! Returns the io_context that the threads of the daemon run. */
    boost::asio::io_context& context();

    /*! Returns the conditions served by /readyz. */
    Readiness& readiness();

    /*!
        Adds an HTTP server on the main port of the daemon.
        \param maxBodyBytes requests with a larger body are rejected with status 413.
        \param handler called for each request.
    */
    void serve(std::uint64_t maxBodyBytes, Http::Handler handler);

    /*!
        Runs until SIGTERM or SIGINT, then shuts down gracefully: the readiness check fails first, then the
        requests in progress are completed.
        \param beforeStop called on the signal, before the servers stop; may block.
        \param afterRequests called after the last request is completed; may block.
        \return the exit code of the process.
    */
    int run(const std::function<void()>& beforeStop, const std::function<void()>& afterRequests = {});

private:
    class Private;
    std::unique_ptr<Private> d_;
};

} // namespace Daemon
