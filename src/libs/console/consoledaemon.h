#pragma once

#include <memory>

namespace Schema {
class ConsoleDaemonSettings;
}

namespace Console {

/*! The console daemon: console of forms and administration API. */
class ConsoleDaemon {
public:
    /*! \param settings checked settings. */
    explicit ConsoleDaemon(const Schema::ConsoleDaemonSettings& settings);
    ~ConsoleDaemon();
    ConsoleDaemon(const ConsoleDaemon&) = delete;
    ConsoleDaemon& operator=(const ConsoleDaemon&) = delete;

    /*! Runs until a planned stop. \return the exit code of the process. */
    int run();

private:
    class Private;
    std::unique_ptr<Private> d_;
};

} // namespace Console
