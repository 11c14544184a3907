/* Jobs that users outside this process submit. */
#pragma once
#include "sim/user.h"
#include "sim/cluster.h"

/* Returns the simulated job for the body of a submission, the same one for a repeated submission;
 * NULL: the body has no valid job id. Its tasks run as long as estimated, plus or minus a third. */
SimJob *external_job (SimCluster *cluster, const char *body);
