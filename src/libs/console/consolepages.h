#pragma once

#include "configuration/configurationstore.h"
#include "consolesources.h"
#include "formdata.h"
#include "http/message.h"

#include <string>

namespace Console {

/*!
    The pages of the console: plain HTML that works without scripts. Calls block; the caller has checked
    the session and, for POST, the form token.
*/
class ConsolePages {
public:
    /*! \param sources what to show. */
    explicit ConsolePages(ConsoleSources& sources);

    /*! The forms of the newest accepted policy. \param formToken token that each form must carry. */
    Http::Response policy(const std::string& formToken) const;

    /*! The forms of a draft, for further changes before it is accepted. \param form draft and base. */
    Http::Response edit(const FormData& form, const std::string& formToken) const;

    /*!
        Applies the form of one section to the draft: shows the faults beside the fields, or the
        difference to the newest revision.
    */
    Http::Response preview(const FormData& form, const std::string& formToken) const;

    /*! Puts a draft: goes to the policy if it is accepted, else shows why not. */
    Http::Response accept(const FormData& form, const std::string& formToken) const;

    /*! The accepted revisions. \param beforeRevision only older ones; 0 for all. */
    Http::Response history(std::uint64_t beforeRevision) const;

    /*! One accepted revision and its difference to the one before. \param revision the revision. */
    Http::Response revision(std::uint64_t revision) const;

    /*! The members and the revision that each has in force. */
    Http::Response members() const;

    /*! The service-level burn. */
    Http::Response burn() const;

    /*! The form that asks for the token. \param failed whether a token was refused. */
    static Http::Response login(bool isRejected);

private:
    Http::Response forms(const std::string& text, std::uint64_t baseRevision, const std::string& formToken,
        unsigned status) const;

    ConsoleSources& sources_;
    Configuration::ConfigurationStore store_;
};

} // namespace Console
