#include "settingsfile.h"

#include "inidocument.h"
#include "messagereader.h"

#include <google/protobuf/message.h>

#include <fstream>
#include <sstream>

namespace Settings {

std::vector<Fault> parseText(std::string_view text, std::string_view name, google::protobuf::Message& message)
{
    const auto document = parseIni(text, name);
    if (const Fault* fault = std::get_if<Fault>(&document))
        return { *fault };
    return readMessage(std::get<IniDocument>(document), message);
}

std::vector<Fault> readFile(const std::string& path, google::protobuf::Message& message)
{
    std::ifstream stream(path);
    if (!stream)
        return { { path, {}, {}, "cannot be read" } };
    std::ostringstream text;
    text << stream.rdbuf();
    return parseText(text.str(), path, message);
}

} // namespace Settings
