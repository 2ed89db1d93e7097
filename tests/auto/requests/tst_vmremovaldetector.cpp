#include <requests/vmremovaldetector.h>

#include <catch2/catch.hpp>

using namespace std::chrono_literals;

namespace {

const std::vector<std::string> candidates { "a", "b" };
constexpr Utils::TimePoint origin {};

} // namespace

TEST_CASE("A VM is removed after it was missing and unresponsive for some time")
{
    Requests::VmRemovalDetector detector(10s);
    CHECK(detector.removedVms(candidates, origin).empty());
    detector.onVmList({ "a" });
    CHECK(detector.removedVms(candidates, origin).empty());
    CHECK(detector.removedVms(candidates, origin + 9s).empty());
    CHECK(detector.removedVms(candidates, origin + 10s) == std::vector<std::string> { "b" });
}

TEST_CASE("A VM that responds or is listed again is not removed")
{
    Requests::VmRemovalDetector detector(10s);
    detector.onVmList({ "a" });
    detector.removedVms(candidates, origin);
    detector.onContact("b", origin + 5s);
    CHECK(detector.removedVms(candidates, origin + 14s).empty());
    detector.onVmList({ "a", "b" });
    CHECK(detector.removedVms(candidates, origin + 30s).empty());
    detector.onVmList({ "a" });
    CHECK(detector.removedVms(candidates, origin + 31s).empty());
}
