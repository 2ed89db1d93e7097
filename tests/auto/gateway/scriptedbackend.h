#pragma once

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>

namespace Testing {

/*! What a scripted backend server does with the requests it receives. */
struct BackendScript {
    bool refuseConnections = false; //!< Nothing listens on the port.
    bool closeOnAccept = false; //!< Closes a connection before it reads.
    std::string response; //!< Bytes written once a whole head was read.
    bool closeAfterResponse = true; //!< Closes after the bytes, else stays silent.
    int firstHealthyConnection = -1; //!< Connections from this one on answer well; -1: never.
};

/*! A TCP server on a thread of its own that counts the requests it ran and answers as scripted. */
class ScriptedBackend {
public:
    /*! \param script what to do. */
    explicit ScriptedBackend(BackendScript script);
    ~ScriptedBackend();

    /*! \return the port it listens on, or one on which nothing listens. */
    std::uint16_t port() const;

    /*! Drops what arrives on the connections opened so far; new ones work. */
    void silenceOpenConnections();

    /*! \return number of requests whose head arrived whole, that is, which ran. */
    int executedRequests() const;

private:
    class Private;
    std::unique_ptr<Private> d_;
};

} // namespace Testing
