#pragma once

#include "configuration/configurationstore.h"
#include "consolesources.h"
#include "http/message.h"

namespace Console {

/*!
    The administration API of the configuration: GET and PUT /v1/configuration, and
    GET /v1/configuration/history. All functions block and expect the request to be authorized.
*/
class ConfigurationApi {
public:
    /*! \param sources must outlive the API. */
    explicit ConfigurationApi(ConsoleSources& sources);

    /*!
        Handles GET /v1/configuration: responds with the newest accepted text, or with the text in force in
        this process if the table is unavailable.
    */
    Http::Response get() const;

    /*!
        Handles PUT /v1/configuration. If-Match contains the entity tag of the base and may only be absent if
        nothing has been accepted yet. A request repeated with the same Idempotency-Key gets the outcome of
        the first one.
    */
    Http::Response put(const Http::Request& request) const;

    /*! Handles GET /v1/configuration/history?before=REVISION&limit=NUMBER. */
    Http::Response history(const Http::Request& request) const;

private:
    ConsoleSources& sources_;
    Configuration::ConfigurationStore store_;
};

/*! Returns the HTTP entity tag of a configuration. */
std::string entityTag(const Schema::AcceptedConfiguration& accepted);

/*! Returns the current time in milliseconds since the Unix epoch (1970). */
std::int64_t currentUnixMs();

} // namespace Console
