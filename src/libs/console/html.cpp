#include "html.h"

namespace Console {

namespace {

constexpr std::string_view style = R"(
body { font: 16px/1.45 sans-serif; margin: 0; color: #1b1f23; background: #f6f7f8; }
header { background: #17324a; color: #fff; padding: .6rem 1.2rem; display: flex; flex-wrap: wrap; gap: 1.2rem; align-items: baseline; }
header nav { display: flex; gap: 1rem; } header strong { font-size: 1.1rem; } header a { color: #cfe3f3; }
main { max-width: 62rem; margin: 1rem auto 3rem; padding: 0 1.2rem; }
h1 { font-size: 1.5rem; } h2 { font-size: 1.15rem; margin-top: 2rem; }
form.part { background: #fff; border: 1px solid #d5dade; border-radius: 6px; padding: .4rem 1rem 1rem; margin: .8rem 0; }
fieldset { border: 0; padding: 0; margin: 0; } legend { font-weight: bold; padding: .4rem 0; }
.field { display: grid; grid-template-columns: 13rem 12rem 1fr; gap: .2rem .8rem; align-items: center; margin: .35rem 0; }
.field small { color: #57606a; } .fault { grid-column: 2 / 4; color: #a11; font-weight: bold; }
input[type=text], input[type=password], textarea { font: inherit; padding: .25rem .4rem; border: 1px solid #8a949e; border-radius: 4px; width: 100%; box-sizing: border-box; }
input[aria-invalid=true] { border: 2px solid #a11; }
button { font: inherit; padding: .35rem .9rem; margin: .6rem .5rem 0 0; border: 1px solid #17324a; border-radius: 4px; background: #17324a; color: #fff; }
button.plain { background: #fff; color: #17324a; }
:focus-visible { outline: 3px solid #e39b17; outline-offset: 2px; }
table { border-collapse: collapse; background: #fff; width: 100%; } th, td { border: 1px solid #d5dade; padding: .3rem .6rem; text-align: left; }
.notice { background: #fff8e0; border: 1px solid #d9b64a; padding: .5rem 1rem; border-radius: 6px; }
.error { background: #fdecec; border-color: #c66; }
pre { background: #fff; border: 1px solid #d5dade; padding: .8rem; overflow-x: auto; }
summary { cursor: pointer; margin: .6rem 0; }
@media (max-width: 40rem) { .field { grid-template-columns: 1fr; } .fault { grid-column: 1; } }
)";

} // namespace

std::string escapeHtml(std::string_view text)
{
    std::string result;
    for (const char character : text) {
        switch (character) {
        case '&':
            result += "&amp;";
            break;
        case '<':
            result += "&lt;";
            break;
        case '>':
            result += "&gt;";
            break;
        case '"':
            result += "&quot;";
            break;
        case '\'':
            result += "&#39;";
            break;
        default:
            result += character;
        }
    }
    return result;
}

std::string htmlPage(std::string_view title, std::string_view content)
{
    std::string page = "<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">"
                       "<meta name=\"viewport\" content=\"width=device-width\"><title>";
    page += escapeHtml(title);
    page += " - geraniumquay</title><style>";
    page += style;
    page += "</style></head><body><header><strong>geraniumquay</strong><nav><a href=\"/\">Policy</a> "
            "<a href=\"/history\">History</a> <a href=\"/members\">Members</a> <a href=\"/burn\">Burn</a>"
            "</nav></header><main><h1>";
    page += escapeHtml(title);
    page += "</h1>\n";
    page += content;
    page += "</main></body></html>\n";
    return page;
}

std::string hiddenInput(std::string_view name, std::string_view value)
{
    return "<input type=\"hidden\" name=\"" + escapeHtml(name) + "\" value=\"" + escapeHtml(value) + "\">";
}

} // namespace Console
