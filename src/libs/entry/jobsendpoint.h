#pragma once

#include "http/server.h"

#include <memory>
#include <string_view>

namespace Platform {
class TableService;
}

namespace Entry {

/*! Serves the callers' job interface; the blocking calls to the table run on threads of its own. */
class JobsEndpoint {
public:
    /*! \param table holds jobs; must outlive the endpoint. */
    explicit JobsEndpoint(Platform::TableService& table);
    ~JobsEndpoint();
    JobsEndpoint(const JobsEndpoint&) = delete;
    JobsEndpoint& operator=(const JobsEndpoint&) = delete;

    /*! \return whether a request target belongs to the job interface. \param target the target. */
    static bool takes(std::string_view target);

    /*!
        Handles one request; does not block.
        \param request the request.
        \param respond takes the answer.
    */
    void handle(Http::Request request, Http::Responder respond);

private:
    class Private;
    std::unique_ptr<Private> d_;
};

} // namespace Entry
