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

/*! Handles a request whose target is taken apart. */
using StandInHandler = std::function<void(const Http::Request&, const Http::Target&, const Http::Responder&)>;

/*!
    Runs a stand-in until SIGTERM: listens on the port given by --port (0: the system chooses), prints it
    as a JSON line, serves "/fault" itself and gives the rest to the handler.
    \param argc,argv as given to main().
    \param program name of the stand-in.
    \param faults the stand-in's faults.
    \param context runs all operations on one thread.
    \param handler called for each other request.
    \return the exit code.
*/
int runStandIn(int argc, char** argv, const char* program, Faults& faults, boost::asio::io_context& context,
    StandInHandler handler);

/*!
    Answers after a delay.
    \param context runs the timer.
    \param delayMs milliseconds; 0 answers at once.
    \param respond takes the answer.
    \param response the answer.
*/
void respondAfter(
    boost::asio::io_context& context, long delayMs, const Http::Responder& respond, Http::Response response);

} // namespace StandIns
