#pragma once

#include <string>
#include <string_view>

namespace Console {

/*! Replaces special characters by entities, for use in HTML content and attribute values. */
std::string escapeHtml(std::string_view text);

/*!
    Creates an HTML document without scripts from the HTML \a content, with \a title as title and heading,
    navigation and style.
*/
std::string htmlPage(std::string_view title, std::string_view content);

/*! Returns the HTML of a hidden input field. */
std::string hiddenInput(std::string_view name, std::string_view value);

} // namespace Console
