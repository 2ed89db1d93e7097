#include "burntext.h"

#include "burnreport.h"

#include <boost/json.hpp>

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>
#include <iomanip>
#include <sstream>

namespace Telemetry {

namespace {

constexpr int rowHeight = 18;
constexpr int labelWidth = 260;
constexpr int plotWidth = 400;
constexpr int valueWidth = 90;
constexpr int topMargin = 30;
constexpr double percentFactor = 100.0;
constexpr std::array<const char*, 3> barColors { "#1f5f8b", "#5b8fb0", "#a9c5d6" };

std::string windowName(std::uint32_t windowS)
{
    constexpr std::uint32_t hourS = 3600;
    constexpr std::uint32_t minuteS = 60;
    if (windowS % hourS == 0)
        return std::to_string(windowS / hourS) + " h";
    return std::to_string(windowS / minuteS) + " min";
}

std::string objectiveName(const ObjectiveBurn& burn)
{
    return burn.objective.empty() ? burn.service : burn.service + "/" + burn.objective;
}

std::string targetText(const ObjectiveBurn& burn)
{
    std::ostringstream text;
    text << burn.percent << "% in " << burn.latencyMs << " ms";
    return text.str();
}

std::string formatFixed(double number, int digits)
{
    std::ostringstream text;
    text << std::fixed << std::setprecision(digits) << number;
    return text.str();
}

std::string escapeXml(const std::string& text)
{
    std::string result;
    for (const char character : text) {
        if (character == '<')
            result += "&lt;";
        else if (character == '&')
            result += "&amp;";
        else
            result += character;
    }
    return result;
}

// Burn rates span several orders of magnitude, so the axis shows the logarithm of 1 + rate.
double barWidth(double rate, double maxRate)
{
    return plotWidth * std::log1p(rate) / std::log1p(maxRate);
}

double findMaxRate(const BurnReport& report)
{
    double maxRate = 2.0;
    for (const ObjectiveBurn& burn : report.objectives) {
        for (const WindowBurn& window : burn.windows)
            maxRate = std::max(maxRate, window.burnRate);
    }
    return maxRate;
}

void writeSvgText(std::ostream& out, double x, int y, const std::string& text)
{
    out << "<text x=\"" << x << "\" y=\"" << y << "\">" << escapeXml(text) << "</text>\n";
}

int writeSvgBars(std::ostream& out, const ObjectiveBurn& burn, double maxRate, int y)
{
    writeSvgText(out, 4, y + rowHeight - 5, objectiveName(burn) + ", " + targetText(burn));
    for (std::size_t i = 0; i < burn.windows.size(); ++i) {
        const WindowBurn& window = burn.windows[i];
        const double width = barWidth(window.burnRate, maxRate);
        out << "<rect x=\"" << labelWidth << "\" y=\"" << y + 2 << "\" width=\"" << formatFixed(width, 1)
            << "\" height=\"" << rowHeight - 4 << "\" fill=\"" << barColors.at(i % barColors.size())
            << "\"/>\n";
        writeSvgText(out, labelWidth + width + 4, y + rowHeight - 5,
            formatFixed(window.burnRate, 2) + " (" + windowName(window.windowS) + ")");
        y += rowHeight;
    }
    return y + rowHeight / 2;
}

boost::json::object objectiveJson(const ObjectiveBurn& burn)
{
    boost::json::array windows;
    for (const WindowBurn& window : burn.windows) {
        windows.push_back(boost::json::object { { "window_s", window.windowS }, { "good", window.good },
            { "bad", window.bad }, { "burn_rate", window.burnRate } });
    }
    boost::json::array causes;
    for (const CauseCount& cause : burn.causes)
        causes.push_back(boost::json::object { { "cause", cause.cause }, { "count", cause.count } });
    return { { "service", burn.service }, { "objective", burn.objective }, { "latency_ms", burn.latencyMs },
        { "percent", burn.percent }, { "budget_left", burn.remainingBudget }, { "median_ms", burn.medianMs },
        { "p99_ms", burn.p99Ms }, { "windows", windows }, { "causes", causes } };
}

} // namespace

std::string burnToText(const BurnReport& report)
{
    std::ostringstream out;
    for (const ObjectiveBurn& burn : report.objectives) {
        out << std::left << std::setw(24) << objectiveName(burn) << std::setw(20) << targetText(burn)
            << "budget left " << formatFixed(burn.remainingBudget * percentFactor, 1) << "%  burn";
        for (const WindowBurn& window : burn.windows)
            out << "  " << windowName(window.windowS) << ": " << formatFixed(window.burnRate, 2);
        out << "  p50 " << formatFixed(burn.medianMs, 1) << " ms  p99 " << formatFixed(burn.p99Ms, 1)
            << " ms\n";
        for (const CauseCount& cause : burn.causes)
            out << "    " << cause.count << " " << cause.cause << "\n";
    }
    if (report.objectives.empty())
        out << "no objectives\n";
    out << "from " << report.sources << " processes\n";
    return out.str();
}

std::string burnToJson(const BurnReport& report)
{
    boost::json::array objectives;
    for (const ObjectiveBurn& burn : report.objectives)
        objectives.push_back(objectiveJson(burn));
    return boost::json::serialize(
        boost::json::object { { "objectives", objectives }, { "sources", report.sources } });
}

std::string burnToSvg(const BurnReport& report)
{
    const double maxRate = findMaxRate(report);
    std::ostringstream body;
    int y = topMargin;
    for (const ObjectiveBurn& burn : report.objectives)
        y = writeSvgBars(body, burn, maxRate, y);
    const int width = labelWidth + plotWidth + valueWidth;
    const double limitX = labelWidth + barWidth(1.0, maxRate);
    std::ostringstream out;
    out << "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" << width << "\" height=\"" << y
        << "\" viewBox=\"0 0 " << width << ' ' << y
        << "\" font-family=\"sans-serif\" font-size=\"12\" role=\"img\">\n<title>Service-level burn "
           "rates</title>\n";
    writeSvgText(out, limitX - 30, topMargin - 12, "burn rate 1");
    out << body.str() << "<line x1=\"" << formatFixed(limitX, 1) << "\" x2=\"" << formatFixed(limitX, 1)
        << "\" y1=\"" << topMargin - 8 << "\" y2=\"" << y
        << "\" stroke=\"#a33\" stroke-dasharray=\"4 3\"/>\n</svg>\n";
    return out.str();
}

} // namespace Telemetry
