#pragma once

#include "callerrequest.h"
#include "queueconfiguration.h"
#include "rowstore.h"
#include "workeragent.h"
#include "workerinfo.h"

#include "http/message.h"
#include "utils/result.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace Ports {

/*! Names, codecs and factories that adapt a node to the platform it runs on. */
struct PlatformBinding {
    std::string operatorTable; //!< Table that the operator writes.
    std::string configurationKey; //!< Key of the configuration's row in operatorTable.
    //! Key prefix of the rows in operatorTable with which the operator evacuates failure domains; the rest of
    //! the key is the domain's name.
    std::string evacuationKeyPrefix;
    std::string workerTable; //!< Table in which workers register themselves.

    std::function<Utils::Result<QueueConfiguration>(std::string_view)> decodeConfiguration;
    std::function<Utils::Result<WorkerInfo>(const Row&)> decodeWorker;
    std::function<Utils::Result<CallerRequest>(const Http::Request&)> decodeRequest;
    std::function<Http::Response(const CallerResponse&)> encodeResponse;
    std::function<std::unique_ptr<WorkerAgent>(const WorkerInfo&)> makeWorkerAgent;
};

} // namespace Ports
