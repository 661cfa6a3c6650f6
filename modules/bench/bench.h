#pragma once

/**
    Bench module: sends open-loop load to running nodes on loopback addresses, checks every answer and
    reports the measurements.
*/

#include "bench/load/load_options.h"
#include "bench/prepare/plan_lists.h"
#include "bench/report/report.h"
#include "bench/run/experiment.h"
