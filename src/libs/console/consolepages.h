#pragma once

#include "configuration/configurationstore.h"
#include "consolesources.h"
#include "formdata.h"
#include "http/message.h"

#include <string>

namespace Console {

/*!
    The pages of the console: plain HTML without scripts. All functions block and expect the session and, for
    POST requests, the form token to be valid.
*/
class ConsolePages {
public:
    /*! \param sources must outlive the pages. */
    explicit ConsolePages(ConsoleSources& sources);

    /*! Shows the forms of the newest accepted policy, each with \a formToken. */
    Http::Response policy(const std::string& formToken) const;

    /*! Shows the forms of the draft in \a form, for further changes before it is submitted. */
    Http::Response edit(const FormData& form, const std::string& formToken) const;

    /*!
        Applies the form of a section to the draft, and shows either the faults beside their fields or the
        difference to the newest revision.
    */
    Http::Response preview(const FormData& form, const std::string& formToken) const;

    /*! Submits a draft: redirects to the history if it is accepted, otherwise shows why it is not. */
    Http::Response accept(const FormData& form, const std::string& formToken) const;

    /*! Lists the accepted revisions before \a beforeRevision, or all if it is 0. */
    Http::Response history(std::uint64_t beforeRevision) const;

    /*! Shows an accepted revision and its difference to the previous one. */
    Http::Response revision(std::uint64_t revision) const;

    /*! Lists the members with the revision in force at each of them. */
    Http::Response members() const;

    /*! Shows the error budget burn of the service-level objectives. */
    Http::Response burn() const;

    /*! Shows the sign-in form, with a message if \a isRejected: the submitted token was wrong. */
    static Http::Response login(bool isRejected);

private:
    Http::Response forms(const std::string& text, std::uint64_t baseRevision, const std::string& formToken,
        unsigned status) const;

    ConsoleSources& sources_;
    Configuration::ConfigurationStore store_;
};

} // namespace Console
