// checkfuzz runs=10000 seed=1 max_len=16384
// Policy documents: a valid one, converted to text, can be parsed again and converts to the same text.

#include <configuration/policy.h>
#include <configuration/policytext.h>
#include <policy.pb.h>

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <iostream>
#include <string_view>

namespace {

[[noreturn]] void fail(std::string_view message, const std::string& text)
{
    std::cerr << message << ":\n" << text << "\n";
    std::abort();
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    const std::string_view text(reinterpret_cast<const char*>(data), size);
    const auto parsed = Configuration::parsePolicy(text);
    const auto* policy = std::get_if<Schema::PolicyDocument>(&parsed);
    if (!policy)
        return 0;
    const std::string written = Configuration::policyToText(*policy);
    const auto reparsed = Configuration::parsePolicy(written);
    const auto* reparsedPolicy = std::get_if<Schema::PolicyDocument>(&reparsed);
    if (!reparsedPolicy)
        fail("a written policy is refused", written);
    if (Configuration::policyToText(*reparsedPolicy) != written)
        fail("a written policy reads back to another one", written);
    return 0;
}
