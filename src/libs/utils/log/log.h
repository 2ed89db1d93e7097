#pragma once

#include "utils/error.h"

#include <initializer_list>
#include <string>
#include <string_view>

namespace Utils {

/*! One named value of a log line. */
struct LogField {
    std::string_view name;
    std::string value;
};

/*! Levels of the log, most talkative first. */
enum class LogLevel {
    Debug,
    Info,
    Warning,
    Error,
};

/*! \param name name of a level as in settings. \return the level; Info if the name is not known. */
LogLevel parseLogLevel(std::string_view name);

/*!
    Sets up the process's log: JSON lines on standard output, no file.
    \param process name of the process, part of every line.
    \param level lines below this level are dropped.
*/
void initializeLog(std::string_view process, LogLevel level);

/*!
    Writes one log line.
    \param level the level of the line.
    \param event what happened, lower case with hyphens, for example "listening".
    \param fields further values.
*/
void log(LogLevel level, std::string_view event, std::initializer_list<LogField> fields = {});

/*!
    Writes an error with its step and peer as a warning line.
    \param event what happened.
    \param error the error.
*/
void logError(std::string_view event, const Error& error);

} // namespace Utils
