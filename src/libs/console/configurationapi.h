#pragma once

#include "configuration/configurationstore.h"
#include "consolesources.h"
#include "http/message.h"

namespace Console {

/*!
    The administration API of the configuration: GET and PUT /v1/configuration and
    GET /v1/configuration/history. Calls block; the caller has been authorized.
*/
class ConfigurationApi {
public:
    /*! \param sources where the configuration is. */
    explicit ConfigurationApi(ConsoleSources& sources);

    /*!
        Answers GET /v1/configuration: the newest accepted text, or the one in force here while the table
        cannot be reached.
    */
    Http::Response get() const;

    /*!
        Answers PUT /v1/configuration. If-Match holds the entity tag of the base; it may be absent only
        while nothing has been accepted. Idempotency-Key makes a repeated request find its first outcome.
        \param request the request.
    */
    Http::Response put(const Http::Request& request) const;

    /*! Answers GET /v1/configuration/history?before=REVISION&limit=NUMBER. \param request the request. */
    Http::Response history(const Http::Request& request) const;

private:
    ConsoleSources& sources_;
    Configuration::ConfigurationStore store_;
};

/*! \param accepted a configuration. \return its entity tag. */
std::string entityTag(const Schema::AcceptedConfiguration& accepted);

/*! \return milliseconds since 1970. */
std::int64_t currentUnixMs();

} // namespace Console
