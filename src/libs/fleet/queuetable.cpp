#include "queuetable.h"

#include <algorithm>

namespace Fleet {

bool QueueTable::apply(Ports::QueueConfiguration configuration)
{
    if (configuration.revision <= configuration_.revision)
        return false;
    configuration_ = std::move(configuration);
    byHost_.clear();
    for (const Ports::Queue& queue : configuration_.queues)
        byHost_[queue.host].push_back(&queue);
    for (auto& [host, queues] : byHost_) {
        std::sort(queues.begin(), queues.end(), [](const Ports::Queue* left, const Ports::Queue* right) {
            return left->pathPrefix.size() > right->pathPrefix.size();
        });
    }
    return true;
}

QueueMatch QueueTable::find(std::string_view host, std::string_view path) const
{
    const auto found = byHost_.find(host);
    if (found == byHost_.end())
        return {};
    for (const Ports::Queue* queue : found->second) {
        if (path.starts_with(queue->pathPrefix))
            return { queue, path.substr(queue->pathPrefix.size()) };
    }
    return {};
}

} // namespace Fleet
