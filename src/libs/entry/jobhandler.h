#pragma once

#include "http/server.h"

#include <memory>

namespace Platform {
class TableService;
}

namespace Entry {

/*! Serves "/v1/jobs" on its own threads, because calls to the table block. Thread-safe. */
class JobHandler {
public:
    /*! \param table table that stores the jobs; must outlive the handler. */
    explicit JobHandler(Platform::TableService& table);
    ~JobHandler();
    JobHandler(const JobHandler&) = delete;
    JobHandler& operator=(const JobHandler&) = delete;

    /*!
        \param target target of the request, with or without a query.
        \return whether the request belongs to the job interface.
    */
    static bool accepts(std::string_view target);

    /*!
        Handles a request. Responds with 503 at once if too many requests are waiting.
        \param respond receives the response.
    */
    void handle(Http::Request request, Http::Responder respond);

private:
    class Private;
    std::unique_ptr<Private> d_;
};

} // namespace Entry
