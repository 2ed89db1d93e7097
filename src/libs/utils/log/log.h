#pragma once

#include "utils/error.h"

#include <initializer_list>
#include <string>
#include <string_view>

namespace Utils {

/*! A named value in a log line. */
struct LogField {
    std::string_view name;
    std::string value;
};

/*! Log levels, in order of increasing severity. */
enum class LogLevel {
    Debug,
    Info,
    Warning,
    Error,
};

/*! Returns the log level with the \a name used in settings; Info if the name is unknown. */
LogLevel parseLogLevel(std::string_view name);

/*!
    Configures logging for the process: JSON lines on standard output, no file.
    \param process name of the process, included in every line.
    \param level minimum level of the lines to write.
*/
void initializeLog(std::string_view process, LogLevel level);

/*!
    Writes a log line.
    \param event name of the event, lower case with hyphens, for example "listening".
    \param fields additional values.
*/
void log(LogLevel level, std::string_view event, std::initializer_list<LogField> fields = {});

/*! Writes a warning line with the code, step, peer and message of \a error. */
void logError(std::string_view event, const Error& error);

} // namespace Utils
