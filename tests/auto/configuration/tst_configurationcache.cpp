#include <configuration/configurationcache.h>
#include <configuration/policy.h>
#include <propertyparameters.h>

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/state.h>

#include <atomic>
#include <thread>

namespace {

const bool parametersSet = Testing::setPropertyParameters("seed=606 max_success=300 max_size=60");

constexpr std::uint64_t revisionCount = 300;
constexpr int readerCount = 4;

Schema::AcceptedConfiguration makeAccepted(std::uint64_t revision, int variant = 0)
{
    Schema::AcceptedConfiguration accepted;
    accepted.set_revision(revision);
    accepted.set_text("[priority_class a]\nguaranteed_percent = 1\nrank = " + std::to_string(variant) + "\n");
    accepted.set_digest(Configuration::policyDigest(accepted.text()));
    return accepted;
}

// Expected content of the cache: the highest valid revision offered so far.
struct CacheModel {
    std::uint64_t revision = 0;
    int variant = 0;
};

struct CacheUnderTest {
    Configuration::ConfigurationCache cache { 3 };
};

struct Offer : rc::state::Command<CacheModel, CacheUnderTest> {
    std::uint64_t revision = *rc::gen::inRange<std::uint64_t>(0, 12);
    int variant = *rc::gen::inRange(0, 2);
    bool isDamaged = *rc::gen::weightedElement<bool>({ { 4, false }, { 1, true } });

    void apply(CacheModel& model) const override
    {
        if (!isDamaged && revision > model.revision)
            model = { revision, variant };
    }

    void run(const CacheModel& model, CacheUnderTest& sut) const override
    {
        using Configuration::OfferOutcome;
        auto accepted = makeAccepted(revision, variant);
        if (isDamaged)
            accepted.set_text(accepted.text() + "x = 1\n");
        const OfferOutcome outcome = sut.cache.offer(accepted).outcome;
        const bool isNewer = revision > model.revision;
        const bool isConflicting = revision != 0 && revision == model.revision && variant != model.variant;
        RC_ASSERT((outcome == OfferOutcome::Applied) == (isNewer && !isDamaged));
        RC_ASSERT((outcome == OfferOutcome::Invalid) == (isNewer && isDamaged));
        RC_ASSERT((outcome == OfferOutcome::Conflicting) == isConflicting);
        const CacheModel next = nextState(model);
        RC_ASSERT(sut.cache.revision() == next.revision);
        RC_ASSERT(sut.cache.isReady() == (next.revision != 0));
        const auto inForce = sut.cache.current();
        RC_ASSERT((inForce != nullptr) == (next.revision != 0));
        if (!inForce)
            return;
        RC_ASSERT(inForce->accepted.revision() == next.revision);
        RC_ASSERT(inForce->policy.priority_class(0).rank() == static_cast<std::uint32_t>(next.variant));
    }

    void show(std::ostream& os) const override
    {
        os << "Offer(" << revision << ", " << variant << (isDamaged ? ", damaged)" : ")");
    }
};

} // namespace

TEST_CASE("The cache holds the highest valid revision, regardless of the order of offers")
{
    CHECK(rc::check([] {
        CacheUnderTest sut;
        rc::state::check(CacheModel {}, sut, rc::state::gen::execOneOfWithArgs<Offer>());
    }));
}

TEST_CASE("An invalid document leaves the previous one in force")
{
    Configuration::ConfigurationCache cache(1);
    cache.offer(makeAccepted(1));
    auto unreadable = makeAccepted(2);
    unreadable.set_text("[unheard_of]\n");
    unreadable.set_digest(Configuration::policyDigest(unreadable.text()));
    const auto result = cache.offer(unreadable);
    CHECK(result.outcome == Configuration::OfferOutcome::Invalid);
    CHECK_FALSE(result.faults.empty());
    CHECK(cache.current()->accepted.revision() == 1);
}

TEST_CASE("No thread observes a decreasing revision, or one below the reported revision")
{
    Configuration::ConfigurationCache cache(2);
    cache.offer(makeAccepted(1));
    std::atomic<bool> hasReverted { false };
    std::vector<std::thread> readers;
    readers.reserve(readerCount);
    for (int i = 0; i < readerCount; ++i) {
        readers.emplace_back([&] {
            std::uint64_t lastSeen = 0;
            while (lastSeen < revisionCount) {
                const std::uint64_t reported = cache.revision();
                const std::uint64_t seen = cache.current()->accepted.revision();
                if (seen < lastSeen || seen < reported)
                    hasReverted = true;
                lastSeen = seen;
            }
        });
    }
    std::thread olderOffers([&] {
        for (std::uint64_t revision = 1; revision <= revisionCount; ++revision)
            cache.offer(makeAccepted(revision / 2));
    });
    for (std::uint64_t revision = 2; revision <= revisionCount; ++revision)
        cache.offer(makeAccepted(revision));
    olderOffers.join();
    for (std::thread& reader : readers)
        reader.join();
    CHECK_FALSE(hasReverted);
}
