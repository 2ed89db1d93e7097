#pragma once

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>

namespace Testing {

/*! Behavior of a scripted backend server. */
struct BackendScript {
    bool refuseConnections = false; //!< Nothing listens on the port.
    bool closeOnAccept = false; //!< Closes each connection before reading from it.
    std::string response; //!< Bytes written once a complete request header was read.
    bool closeAfterResponse = true; //!< Closes the connection after the response instead of keeping it open.
    int firstHealthyConnection
        = -1; //!< Index of the first connection that gets healthy responses; -1 for none.
};

/*! A TCP server with its own thread that responds as scripted and counts the requests it executed. */
class ScriptedBackend {
public:
    explicit ScriptedBackend(BackendScript script);
    ~ScriptedBackend();

    /*! Returns the port of the server; nothing listens on it if the script refuses connections. */
    std::uint16_t port() const;

    /*! Ignores all further requests on the connections opened so far; new connections work. */
    void silenceOpenConnections();

    /*! Returns the number of requests whose header arrived completely; these count as executed. */
    int executedRequests() const;

private:
    class Private;
    std::unique_ptr<Private> d_;
};

} // namespace Testing
