#pragma once

#include <string>
#include <string_view>

namespace Console {

/*!
    Makes text safe for HTML content and attribute values.
    \param text any text.
    \return the text with special characters as entities.
*/
std::string escapeHtml(std::string_view text);

/*!
    Wraps content into a page with heading, navigation and style; it needs no scripts.
    \param title title and heading of the page.
    \param content HTML of the page's main part.
    \return an HTML document.
*/
std::string htmlPage(std::string_view title, std::string_view content);

/*! \param name field name. \param value its value. \return a hidden input. */
std::string hiddenInput(std::string_view name, std::string_view value);

} // namespace Console
