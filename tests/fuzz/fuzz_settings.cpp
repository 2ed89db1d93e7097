// checkfuzz runs=3000 seed=1 max_len=4096
// Settings files: any input results in a message or faults, never in a crash.

#include <settings.pb.h>
#include <settings/settingsfile.h>

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace {

template <typename Message> void parseAs(std::string_view text)
{
    Message message;
    const auto faults = Settings::parseText(text, "fuzz.ini", message);
    (void)Settings::faultsToString(faults);
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    const std::string_view text(reinterpret_cast<const char*>(data), size);
    parseAs<Schema::EntryDaemonSettings>(text);
    parseAs<Schema::ScheduleDaemonSettings>(text);
    parseAs<Schema::ConsoleDaemonSettings>(text);
    return 0;
}
