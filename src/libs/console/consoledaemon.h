#pragma once

#include <memory>

namespace Schema {
class ConsoleDaemonSettings;
}

namespace Console {

/*! The console daemon, which serves the web console and the administration API. */
class ConsoleDaemon {
public:
    /*! \param settings validated settings. */
    explicit ConsoleDaemon(const Schema::ConsoleDaemonSettings& settings);
    ~ConsoleDaemon();
    ConsoleDaemon(const ConsoleDaemon&) = delete;
    ConsoleDaemon& operator=(const ConsoleDaemon&) = delete;

    /*! Runs until the process is asked to stop and returns its exit code. */
    int run();

private:
    class Private;
    std::unique_ptr<Private> d_;
};

} // namespace Console
