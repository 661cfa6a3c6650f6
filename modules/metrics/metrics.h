#pragma once

/**
    Metrics module: histograms, a bounded number of series by label, and the text exposition format.
*/

#include "metrics/exposition/text_writer.h"
#include "metrics/histogram/duration_histogram.h"
#include "metrics/series/bounded_series.h"
#include "metrics/series/heavy_hitters.h"
