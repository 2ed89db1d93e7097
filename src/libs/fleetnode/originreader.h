#pragma once

#include <fleet.pb.h>

#include <functional>
#include <memory>
#include <set>
#include <string>

namespace FleetNode {

struct NodeContext;

/*! Reads the stored states of jobs that other shards have accepted, with a bound on concurrent reads. */
class OriginReader {
public:
    using Handler = std::function<void(const std::string& job, FleetSchema::JobState state)>;

    /*!
        \param context must outlive the reader.
        \param handler receives each state; JOB_COMPLETED for a job whose record was removed after its end.
    */
    OriginReader(const NodeContext& context, Handler handler);

    /*!
        Reads the state of a job, unless a read of it or too many of others are under way. The handler is not
        called if the read fails.
    */
    void read(const std::string& originShard, const std::string& job);

private:
    const NodeContext& context_;
    Handler handler_;
    std::set<std::string> openReads_; //!< The jobs that are being read.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace FleetNode
