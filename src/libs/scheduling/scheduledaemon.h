#pragma once

#include <memory>

namespace Schema {
class ScheduleDaemonSettings;
}

namespace Scheduling {

/*! The scheduling daemon: owns shards of its failure domain and places their tasks on workers. */
class ScheduleDaemon {
public:
    /*! \param settings validated settings. */
    explicit ScheduleDaemon(const Schema::ScheduleDaemonSettings& settings);
    ~ScheduleDaemon();
    ScheduleDaemon(const ScheduleDaemon&) = delete;
    ScheduleDaemon& operator=(const ScheduleDaemon&) = delete;

    /*! Runs until a planned stop, which hands over the shards. \return the exit code of the process. */
    int run();

private:
    class Private;
    std::unique_ptr<Private> d_;
};

} // namespace Scheduling
