#include "log.h"

#include "loglimiter.h"

#include <boost/json.hpp>
#include <easylogging++.h>

#include <chrono>
#include <ctime>
#include <mutex>

INITIALIZE_EASYLOGGINGPP

namespace Utils {

namespace {

// Maximum per event, a few times what a node logs under load. Further lines are suppressed and counted; one
// line reports their number when the event next occurs in a later second.
constexpr std::uint32_t maxLinesPerSecond = 200;

std::mutex limiterMutex;
LogLimiter limiter(maxLinesPerSecond);
std::string processName;
LogLevel minLevel = LogLevel::Info;

const char* levelName(LogLevel level)
{
    switch (level) {
    case LogLevel::Debug:
        return "debug";
    case LogLevel::Info:
        return "info";
    case LogLevel::Warning:
        return "warning";
    case LogLevel::Error:
        break;
    }
    return "error";
}

std::string timestamp()
{
    const auto now = std::chrono::system_clock::now();
    const auto milliseconds
        = std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()).count() % 1000;
    const std::time_t seconds = std::chrono::system_clock::to_time_t(now);
    std::tm parts {};
    gmtime_r(&seconds, &parts);
    char text[40];
    const std::size_t length = std::strftime(text, sizeof text, "%Y-%m-%dT%H:%M:%S", &parts);
    std::snprintf(text + length, sizeof text - length, ".%03dZ", static_cast<int>(milliseconds));
    return text;
}

void writeLine(LogLevel level, const std::string& line)
{
    switch (level) {
    case LogLevel::Debug:
    case LogLevel::Info:
        LOG(INFO) << line;
        return;
    case LogLevel::Warning:
        LOG(WARNING) << line;
        return;
    case LogLevel::Error:
        LOG(ERROR) << line;
        return;
    }
}

} // namespace

LogLevel parseLogLevel(std::string_view name)
{
    if (name == "debug")
        return LogLevel::Debug;
    if (name == "warning")
        return LogLevel::Warning;
    return name == "error" ? LogLevel::Error : LogLevel::Info;
}

void initializeLog(std::string_view process, LogLevel level)
{
    processName = process;
    minLevel = level;
    el::Configurations configurations;
    configurations.setToDefault();
    configurations.setGlobally(el::ConfigurationType::Format, "%msg");
    configurations.setGlobally(el::ConfigurationType::ToFile, "false");
    configurations.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
    el::Loggers::reconfigureAllLoggers(configurations);
}

void log(LogLevel level, std::string_view event, std::initializer_list<LogField> fields)
{
    if (level < minLevel)
        return;
    const std::int64_t second = std::chrono::duration_cast<std::chrono::seconds>(
        std::chrono::steady_clock::now().time_since_epoch())
                                    .count();
    std::uint64_t suppressedLines = 0;
    bool shouldWrite = false;
    {
        const std::lock_guard<std::mutex> guard(limiterMutex);
        shouldWrite = limiter.admit(event, second, suppressedLines);
    }
    if (suppressedLines > 0)
        log(LogLevel::Warning, "lines-left-out",
            { { "of", std::string(event) }, { "count", std::to_string(suppressedLines) } });
    if (!shouldWrite)
        return;
    boost::json::object line;
    line["time"] = timestamp();
    line["level"] = levelName(level);
    line["process"] = processName;
    line["event"] = event;
    for (const LogField& field : fields)
        line[field.name] = field.value;
    writeLine(level, boost::json::serialize(line));
}

void logError(std::string_view event, const Error& error)
{
    log(LogLevel::Warning, event,
        { { "code", std::string(errorCodeName(error.code)) }, { "step", error.step }, { "peer", error.peer },
            { "message", error.message } });
}

} // namespace Utils
