#include "slidingquantile.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>

namespace Placement {

namespace Accumulators = boost::accumulators;

class SlidingQuantile::Private {
public:
    using Estimator = Accumulators::accumulator_set<double,
        Accumulators::stats<Accumulators::tag::p_square_quantile, Accumulators::tag::count>>;

    Private(double givenProbability, std::size_t givenWindow, std::size_t givenMinSamples)
        : probability(givenProbability)
        , window(givenWindow)
        , minSamples(givenMinSamples)
        , current(makeEstimator())
        , previous(makeEstimator())
    {
    }

    Estimator makeEstimator() const { return Estimator(Accumulators::quantile_probability = probability); }

    double probability;
    std::size_t window;
    std::size_t minSamples;
    Estimator current;
    Estimator previous;
};

SlidingQuantile::SlidingQuantile(double probability, std::size_t window, std::size_t minSamples)
    : private_(std::make_unique<Private>(probability, window, minSamples))
{
}

SlidingQuantile::~SlidingQuantile() = default;
SlidingQuantile::SlidingQuantile(SlidingQuantile&& other) noexcept = default;
SlidingQuantile& SlidingQuantile::operator=(SlidingQuantile&& other) noexcept = default;

void SlidingQuantile::add(double sample)
{
    private_->current(sample);
    if (Accumulators::count(private_->current) < private_->window)
        return;
    private_->previous = private_->current;
    private_->current = private_->makeEstimator();
}

double SlidingQuantile::estimate(double fallback) const
{
    if (Accumulators::count(private_->previous) >= private_->minSamples)
        return Accumulators::p_square_quantile(private_->previous);
    if (Accumulators::count(private_->current) >= private_->minSamples)
        return Accumulators::p_square_quantile(private_->current);
    return fallback;
}

} // namespace Placement
