#pragma once

#include "faults.h"

#include "http/server.h"
#include "http/target.h"

#include <functional>
#include <string>

namespace boost::asio {
class io_context;
}

namespace StandIns {

/*! Handles a request; its target is already parsed. */
using StandInHandler = std::function<void(const Http::Request&, const Http::Target&, const Http::Responder&)>;

/*!
    Runs the HTTP server of a stand-in until SIGTERM or SIGINT. It listens on the port given by --port (0
    lets the operating system choose), logs the port as a JSON line, handles "/fault" itself and passes all
    other requests to the handler.
    \param program name of the stand-in.
    \param context all operations run on it, on the calling thread.
    \return the exit code of the process.
*/
int runStandIn(int argc, char** argv, const char* program, Faults& faults, boost::asio::io_context& context,
    StandInHandler handler);

/*!
    Sends a response after a delay.
    \param context runs the timer.
    \param delayMs delay in milliseconds; 0 responds immediately.
*/
void respondAfter(
    boost::asio::io_context& context, long delayMs, const Http::Responder& respond, Http::Response response);

} // namespace StandIns
