#include "ratioquantiles.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>

namespace Placement {

namespace Accumulators = boost::accumulators;

class RatioQuantiles::Private {
public:
    using Estimator = Accumulators::accumulator_set<double,
        Accumulators::stats<Accumulators::tag::p_square_quantile, Accumulators::tag::count>>;

    Private(double givenProbability, std::size_t givenWindow, std::size_t givenFewest)
        : probability(givenProbability)
        , window(givenWindow)
        , fewest(givenFewest)
        , filling(makeEstimator())
        , full(makeEstimator())
    {
    }

    Estimator makeEstimator() const { return Estimator(Accumulators::quantile_probability = probability); }

    double probability;
    std::size_t window;
    std::size_t fewest;
    Estimator filling;
    Estimator full;
};

RatioQuantiles::RatioQuantiles(double probability, std::size_t window, std::size_t fewest)
    : private_(std::make_unique<Private>(probability, window, fewest))
{
}

RatioQuantiles::~RatioQuantiles() = default;
RatioQuantiles::RatioQuantiles(RatioQuantiles&& other) noexcept = default;
RatioQuantiles& RatioQuantiles::operator=(RatioQuantiles&& other) noexcept = default;

void RatioQuantiles::add(double ratio)
{
    private_->filling(ratio);
    if (Accumulators::count(private_->filling) < private_->window)
        return;
    private_->full = private_->filling;
    private_->filling = private_->makeEstimator();
}

double RatioQuantiles::estimate(double otherwise) const
{
    if (Accumulators::count(private_->full) >= private_->fewest)
        return Accumulators::p_square_quantile(private_->full);
    if (Accumulators::count(private_->filling) >= private_->fewest)
        return Accumulators::p_square_quantile(private_->filling);
    return otherwise;
}

} // namespace Placement
