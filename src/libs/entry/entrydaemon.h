#pragma once

#include <memory>

namespace Schema {
class EntryDaemonSettings;
}

namespace Entry {

/*! The entry daemon: accepts callers' requests and job submissions. */
class EntryDaemon {
public:
    /*! \param settings validated settings. */
    explicit EntryDaemon(const Schema::EntryDaemonSettings& settings);
    ~EntryDaemon();
    EntryDaemon(const EntryDaemon&) = delete;
    EntryDaemon& operator=(const EntryDaemon&) = delete;

    /*! Runs until a planned stop has completed. \return the exit code of the process. */
    int run();

private:
    class Private;
    std::unique_ptr<Private> d_;
};

} // namespace Entry
