#include <platform/memorytable.h>

#include <catch2/catch.hpp>

namespace {

Schema::CommitRequest putRequest(const std::string& writeId, const std::string& key, std::uint64_t version)
{
    Schema::CommitRequest request;
    request.set_write_id(writeId);
    auto* condition = request.add_conditions();
    condition->set_key(key);
    condition->set_version(version);
    auto* put = request.add_puts();
    put->set_key(key);
    put->set_value("value of " + writeId);
    return request;
}

// Applies each commit but loses its reply.
class ReplyLosingTable final : public Platform::TableService {
public:
    Utils::Result<Schema::Row> get(std::string_view key) override { return table_.get(key); }
    Utils::Result<Schema::ScanReply> scan(
        std::string_view prefix, std::string_view after, std::uint32_t limit) override
    {
        return table_.scan(prefix, after, limit);
    }
    Utils::Result<Schema::CommitReply> commit(const Schema::CommitRequest& request) override
    {
        table_.commit(request);
        return Utils::Error { Utils::ErrorCode::OutcomeUnknown, "table.commit", "test", "answer lost" };
    }

private:
    Platform::MemoryTable table_;
};

} // namespace

TEST_CASE("A commit whose condition fails changes nothing")
{
    Platform::MemoryTable table;
    REQUIRE(Utils::value(table.commit(putRequest("first", "a", 0))).committed());
    const auto second = Utils::value(table.commit(putRequest("second", "a", 0)));
    CHECK_FALSE(second.committed());
    CHECK(second.conflicting_key() == "a");
    CHECK(Utils::value(table.get("a")).write_id() == "first");
}

TEST_CASE("A scan respects its prefix, start key and limit")
{
    Platform::MemoryTable table;
    for (const char* key : { "a/1", "a/2", "a/3", "b/1" })
        table.commit(putRequest(key, key, 0));
    const auto first = Utils::value(table.scan("a/", "", 2));
    REQUIRE(first.rows_size() == 2);
    CHECK(first.more());
    const auto rest = Utils::value(table.scan("a/", "a/2", 2));
    REQUIRE(rest.rows_size() == 1);
    CHECK(rest.rows(0).key() == "a/3");
}

TEST_CASE("The outcome of a commit whose reply was lost is determined by its write ID")
{
    ReplyLosingTable table;
    CHECK(Utils::value(Platform::commitAndResolve(table, putRequest("mine", "a", 0))).committed());
    const auto lateReply = Platform::commitAndResolve(table, putRequest("late", "a", 0));
    CHECK_FALSE(Utils::isOk(lateReply));
}
