#include <placement/interferencemodel.h>
#include <placement/sizeestimator.h>

#include <catch2/catch.hpp>

#include <random>

using namespace std::chrono_literals;
using Placement::ClassShare;
using Placement::InterferenceModel;

TEST_CASE("The slowdown of each pair is learned from noisy samples and follows a change")
{
    const double before[3] = { 0.2, 1.0, 3.0 };
    const double after[3] = { 2.0, 0.5, 0.1 };
    std::mt19937_64 random(5);
    std::uniform_real_distribution<double> share(0, 0.35);
    std::normal_distribution<double> noise(0, 0.03);
    InterferenceModel model;
    const auto train = [&](const double(&truth)[3], Utils::TimePoint start) {
        for (int sample = 0; sample < 1500; ++sample) {
            std::vector<ClassShare> mix;
            double slowdown = 1 + noise(random);
            for (std::uint16_t other = 0; other < 3; ++other) {
                mix.push_back({ other, share(random) });
                slowdown += truth[other] * mix.back().share;
            }
            model.learn(0, mix, slowdown, start + sample * 1s);
        }
    };
    const std::vector<ClassShare> probe { { 0, 0.2 }, { 1, 0.2 }, { 2, 0.2 } };
    train(before, Utils::TimePoint { 1h });
    CHECK(model.predict(0, probe) == Approx(1.84).margin(0.1));
    train(after, Utils::TimePoint { 2h });
    CHECK(model.predict(0, probe) == Approx(1.52).margin(0.1));
}

TEST_CASE("An unseen pair takes its prior from the known coefficients of the aggressor class")
{
    InterferenceModel model;
    const std::vector<ClassShare> mix { { 0, 0.2 }, { 1, 0.4 } };
    const double unknown = model.predict(7, mix);
    for (int sample = 0; sample < 500; ++sample)
        model.learn(0, mix, 3.0, Utils::TimePoint { sample * 1s });
    CHECK(model.predict(7, mix) > unknown + 0.5);
}

TEST_CASE("Expected sizes and run times follow the quantiles of their class")
{
    Placement::SizeEstimator estimator;
    const Placement::Resources declared { 4000, 8000, 1 };
    CHECK(estimator.expectedSize("model", declared) == declared);
    std::mt19937_64 random(3);
    std::uniform_real_distribution<double> ratio(0.2, 0.3);
    for (int sample = 0; sample < 1000; ++sample) {
        estimator.learnSize("model", declared, 4000 * ratio(random), 8000 * 4 * ratio(random));
        estimator.learnRunTime("model", 100s, std::chrono::milliseconds(sample % 2 == 0 ? 300000 : 400000));
    }
    const Placement::Resources corrected = estimator.expectedSize("model", declared);
    CHECK(corrected.milliProcessors == Approx(4000 * 0.29).margin(60));
    CHECK(corrected.memoryMb == Approx(8000 * 1.2 * 1.1).margin(200));
    CHECK(corrected.accelerators == 1);
    CHECK(estimator.expectedRunTime("model", 10s) >= 30s);
    CHECK(estimator.expectedSize("other", declared) == declared);
}
