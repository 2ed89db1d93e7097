#include <platform/workerentrycodec.h>

#include <boost/json.hpp>
#include <catch2/catch.hpp>

using namespace UsersPlatform;

namespace {

boost::json::object makeFields()
{
    return { { "service", "s" }, { "addr", "10.128.0.9:8080" }, { "zone", "z" }, { "state", "ready" },
        { "born", 5 }, { "capacity", { { "cpu", 16000 }, { "mem_mb", 32768 }, { "gpu", 1 } } },
        { "labels", { "a", "r1-3" } } };
}

Ports::Row makeRow(const std::string& value, const std::string& key = "i-1")
{
    Ports::Row row;
    row.name = { "servers", "", key };
    row.value = value;
    return row;
}

/*! \return whether an entry with \p value in field \p name is accepted. */
bool isAccepted(const char* name, const boost::json::value& value)
{
    boost::json::object fields = makeFields();
    fields[name] = value;
    return Utils::isOk(decodeWorker(makeRow(boost::json::serialize(fields))));
}

/*! \return whether an entry with \p number as \p name of its capacity is accepted. */
bool isCapacityAccepted(const std::string& name, const std::string& number)
{
    std::string capacity = R"({"cpu":16000,"mem_mb":32768,"gpu":1,")" + name + "\":" + number + "}";
    std::string text = boost::json::serialize(makeFields());
    text.pop_back();
    return Utils::isOk(decodeWorker(makeRow(text + ",\"capacity\":" + capacity + "}")));
}

} // namespace

TEST_CASE("A complete entry is accepted")
{
    const auto worker = decodeWorker(makeRow(boost::json::serialize(makeFields())));
    REQUIRE(Utils::isOk(worker));
    CHECK(Utils::value(worker).milliProcessors == 16000);
    CHECK(Utils::value(worker).accelerators == 1);
    CHECK(isAccepted("capacity", { { "cpu", 16000 }, { "mem_mb", 32768 } }));
    CHECK(isAccepted("labels", { "a", "r1-3", "b" }));
    CHECK(isAccepted("addr", "::1:8080"));
}

TEST_CASE("An entry with a port that no worker can listen on is rejected")
{
    for (const char* address : { "10.0.0.1:0", "10.0.0.1:65536", "10.0.0.1:99999999999", "10.0.0.1:-1",
             "10.0.0.1:", "10.0.0.1:+80", "host:80", "" }) {
        INFO(address);
        CHECK_FALSE(isAccepted("addr", address));
    }
}

TEST_CASE("An entry with a capacity that no worker has is rejected")
{
    for (const std::string name : { "cpu", "mem_mb", "gpu" }) {
        for (const std::string number :
            { "-1", "-1e400", "1e400", "1e30", "9e18", "9223372036854775807", "18446744073709551615", "0e999",
                "1000000001", "123456789012345678901234567890", "\"16000\"", "null", "true", "[1]", "{}" }) {
            INFO(name << " " << number);
            CHECK_FALSE(isCapacityAccepted(name, number));
        }
    }
    CHECK_FALSE(isCapacityAccepted("cpu", "0"));
    CHECK_FALSE(isCapacityAccepted("mem_mb", "0"));
    CHECK(isCapacityAccepted("gpu", "0"));
    CHECK(isCapacityAccepted("cpu", "1000000"));
    CHECK(isCapacityAccepted("mem_mb", "64000000"));
    CHECK(isCapacityAccepted("cpu", "16e3"));
    for (const boost::json::value& capacity : { boost::json::value(nullptr), boost::json::value(7),
             boost::json::value(boost::json::array { 1, 2 }), boost::json::value { { "cpu", 16000 } } })
        CHECK_FALSE(isAccepted("capacity", capacity));
}

TEST_CASE("An entry with a drain time that no worker has is rejected")
{
    for (const boost::json::value& time :
        { boost::json::value(-1e300), boost::json::value(9e18), boost::json::value(1e300),
            boost::json::value(86'400'001), boost::json::value("1200"), boost::json::value(nullptr) }) {
        INFO(boost::json::serialize(time));
        CHECK_FALSE(isAccepted("drain_remaining_ms", time));
    }
    CHECK(isAccepted("drain_remaining_ms", 0));
    CHECK(isAccepted("drain_remaining_ms", 1200.5));
    boost::json::object late = makeFields();
    late["drain_remaining_ms"] = -1500;
    const auto worker = decodeWorker(makeRow(boost::json::serialize(late)));
    REQUIRE(Utils::isOk(worker));
    CHECK(Utils::value(worker).drainRemainingMs == 0);
}

TEST_CASE("An entry whose names could not be part of a row key is rejected")
{
    const std::string longest(64, 'n');
    const std::string tooLong(65, 'n');
    for (const char* name : { "service", "zone" }) {
        INFO(name);
        CHECK(isAccepted(name, longest.c_str()));
        CHECK_FALSE(isAccepted(name, tooLong.c_str()));
        CHECK_FALSE(isAccepted(name, std::string(65'000, 'n').c_str()));
        CHECK_FALSE(isAccepted(name, ""));
        CHECK_FALSE(isAccepted(name, 7));
        CHECK_FALSE(isAccepted(name, nullptr));
    }
    CHECK(isAccepted("labels", { "a", longest }));
    CHECK_FALSE(isAccepted("labels", { "a", tooLong }));
    CHECK_FALSE(isAccepted("labels", { "a", std::string(65'000, 'r') }));
    CHECK_FALSE(isAccepted("labels", { "a", "" }));
}

TEST_CASE("An entry with labels of another type or with too many of them is rejected")
{
    CHECK_FALSE(isAccepted("labels", "a,r1-3"));
    CHECK_FALSE(isAccepted("labels", { 7, "a", "r1-3" }));
    CHECK_FALSE(isAccepted("labels", { "a", "r1-3", nullptr }));
    CHECK_FALSE(isAccepted("labels", { "a", "r1-3", std::string(65'000, 'b') }));
    boost::json::array labels(100'000, "b");
    CHECK_FALSE(isAccepted("labels", labels));
    labels.resize(32);
    CHECK(isAccepted("labels", labels));
}

TEST_CASE("An entry whose key cannot identify a worker in a request is rejected")
{
    const std::string value = boost::json::serialize(makeFields());
    for (const std::string key : { "", "i\r\nname: value", "i\n", "i 1", "i\x7f", "i\x01", "i-\xc3\xa9" }) {
        INFO(key);
        CHECK_FALSE(Utils::isOk(decodeWorker(makeRow(value, key))));
    }
    CHECK(Utils::isOk(decodeWorker(makeRow(value, std::string(200, 'i')))));
}

TEST_CASE("An entry that is nested deeply or is not JSON is rejected")
{
    const std::string text = boost::json::serialize(makeFields());
    const std::string start = text.substr(0, text.size() - 1) + ",\"x\":";
    for (const std::size_t levels : { 40U, 30'000U, 500'000U }) {
        INFO(levels);
        CHECK_FALSE(Utils::isOk(
            decodeWorker(makeRow(start + std::string(levels, '[') + std::string(levels, ']') + "}"))));
        CHECK_FALSE(Utils::isOk(decodeWorker(makeRow(start + std::string(levels, '[')))));
    }
    CHECK_FALSE(Utils::isOk(decodeWorker(makeRow(start + "\"\xff\"}"))));
    CHECK_FALSE(Utils::isOk(decodeWorker(makeRow(text + text))));
    CHECK_FALSE(Utils::isOk(decodeWorker(makeRow(std::string(1000, '\0')))));
    CHECK(Utils::isOk(decodeWorker(makeRow(start + "1e400}"))));
}
