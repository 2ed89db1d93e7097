#pragma once

#include "ports/queueconfiguration.h"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace Fleet {

/*! A path taken apart by the queue that it belongs to. */
struct QueueMatch {
    const Ports::Queue* queue = nullptr; //!< Null if no queue matches.
    std::string_view jobId; //!< Rest of the path; empty for the queue itself.
};

/*! The queues in force, found by host and longest path prefix. */
class QueueTable {
public:
    /*!
        Takes a configuration into force if it is newer than the one in force.
        \param configuration the configuration.
        \return false if it is not newer.
    */
    bool apply(Ports::QueueConfiguration configuration);

    /*!
        Finds the queue of a path.
        \param host,path the request's.
        \return the queue and the rest of the path; the views are valid until the next apply().
    */
    QueueMatch find(std::string_view host, std::string_view path) const;

    /*! \return revision in force; 0: none. */
    std::uint64_t revision() const { return configuration_.revision; }

    /*! \return the configuration in force. */
    const Ports::QueueConfiguration& configuration() const { return configuration_; }

private:
    Ports::QueueConfiguration configuration_;
    std::map<std::string, std::vector<const Ports::Queue*>, std::less<>> byHost_; //!< Longest prefix first.
};

} // namespace Fleet
