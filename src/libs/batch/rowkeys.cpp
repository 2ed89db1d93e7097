#include "rowkeys.h"

#include <array>
#include <cstdio>

namespace Batch {

namespace {

// Joins the parts of a key. In a prefix, the name of a shard or job is followed by '|', which no name
// contains; otherwise the prefix of one name could be a prefix of another's.
std::string join(std::string_view first, std::string_view second, std::string_view last)
{
    std::string key(first);
    key += second;
    key += last;
    return key;
}

} // namespace

std::string shardKey(std::string_view shard)
{
    return join(shardPrefix(), shard, "");
}

std::string_view shardPrefix()
{
    return "shard/";
}

std::string journalPrefix(std::string_view shard)
{
    return join("journal/", shard, "|");
}

std::string journalKey(std::string_view shard, std::uint64_t segment)
{
    std::array<char, 24> number {};
    std::snprintf(number.data(), number.size(), "%016llx", static_cast<unsigned long long>(segment));
    return journalPrefix(shard) + number.data();
}

std::string inboxPrefix(std::string_view shard)
{
    return join("inbox/", shard, "|");
}

std::string inboxSubmitKey(std::string_view shard, std::string_view job)
{
    return inboxPrefix(shard) + join(job, "|", "submit");
}

std::string inboxCancelKey(std::string_view shard, std::string_view job)
{
    // Sorts after the submission of the same job, so that the owner handles the submission first: it drops
    // the cancellation of an unknown job.
    return inboxPrefix(shard) + join(job, "|", "then-cancel");
}

std::string jobKey(std::string_view job)
{
    return join("job/", job, "");
}

std::string jobStatePrefix(std::string_view job)
{
    return join("jobstate/", job, "|");
}

std::string jobStateKey(std::string_view job, std::string_view shard)
{
    return jobStatePrefix(job) + std::string(shard);
}

} // namespace Batch
