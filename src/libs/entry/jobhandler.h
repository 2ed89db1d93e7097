#pragma once

#include "http/server.h"

#include <memory>

namespace Platform {
class TableService;
}

namespace Entry {

/*! Serves "/v1/jobs" on threads of its own, as the calls to the table block. Safe for use from several
 * threads. */
class JobHandler {
public:
    /*! \param table holds the jobs; must outlive the handler. */
    explicit JobHandler(Platform::TableService& table);
    ~JobHandler();
    JobHandler(const JobHandler&) = delete;
    JobHandler& operator=(const JobHandler&) = delete;

    /*!
        Whether a request is for the job interface.
        \param target the request's target.
        \return true if it is.
    */
    static bool accepts(std::string_view target);

    /*!
        Handles a request; answers 503 at once if too many wait.
        \param request the request.
        \param respond takes the answer.
    */
    void handle(Http::Request request, Http::Responder respond);

private:
    class Private;
    std::unique_ptr<Private> d_;
};

} // namespace Entry
