/* Machines: what they are, what is placed on them, and what the leader knows of their agents.
 *
 * Rows are owned by HrTables (tables.h). Each group of members says which module updates it;
 * others only read it. Times are in seconds of the steady clock. */
#pragma once
#include "protocol/cloud.h"
#include "protocol/jobspec.h"
#include <glib.h>

/* State of a machine, as this node knows it. */
typedef enum {
  HR_MACHINE_BOOTING,
  HR_MACHINE_UP,
  HR_MACHINE_DELETING,
  HR_MACHINE_GONE
} HrMachineState;

/* A task: its job's index, and its index in the job. */
typedef struct {
  guint32 job, task;
} HrTaskRef;

/* An attempt that was launched by a direct call, and the call's token. */
typedef struct {
  guint32 job, task, attempt;
  guint64 fencing_token;
} HrDirectLaunch;

/* An amount of a machine's capacity. */
typedef struct {
  double cpus, gpus, memory_gb;
} HrResources;

/* What the leader knows of the machine's agent (coordination/agents/). Steady time, s. */
typedef struct {
  guint32 incarnation;
  guint64 sequence;        /* of the newest message */
  guint64 fencing_token;   /* the newest that the agent has shown */
  double sequence_at;      /* when that message came */
  double heard_at;         /* last heartbeat; 0: none to this leader */
  double lease_renewed_at; /* last 200 to a heartbeat; 0: none */
  /* When an incarnation first showed that it lacked an answer; 0: it did not. */
  double answer_unreceived_at;
  double unreachable_at; /* when it showed that our answers do not reach it; 0: it did not */
  /* Orders that may still take effect. */
  /* Of the heartbeat whose answer held a launch; 0: none pending. */
  guint64 launch_answered_sequence;
  guint direct_calls_in_flight;
  guint64 unanswered_launch_token; /* of the last direct launch whose answer was lost; 0: none */
  GArray *direct_launches;         /* HrDirectLaunch of this incarnation */
  gboolean has_urgent_orders;      /* to be sent at once */
  gboolean orders_postponed;       /* until an earlier direct call, or a pause after one, is over */
  double direct_paused_until;
} HrMachineAgent;

/* What is known of the machine as an instance of the cloud (coordination/scaling/). Steady time, s.
 */
typedef struct {
  gboolean requested_here; /* by this very process */
  double requested_at;
  double known_since;  /* is in this leader's fleet since */
  double listed_at;    /* when the latest listing of instances that showed it began */
  double preempted_at; /* when the cloud takes it away; 0: no notice */
  gboolean deletion_in_flight;
  gboolean is_deleted; /* the cloud confirmed it */
} HrMachineInstance;

/* What the scheduler plans for the machine (coordination/scheduling/). Steady time, s. */
typedef struct {
  guint32 shard;    /* by hash of its name */
  guint n_shards;   /* of how many */
  GArray *list;     /* HrTaskRef by deadline */
  double tardiness; /* expected, of the listed tasks */
  guint late_count;
  double ready_at;        /* when the first listed task can start */
  double candidate_start; /* while a job is placed: when it could start here, image fetched */
} HrMachinePlan;

/* A machine that this node has read or heard of. */
typedef struct {
  guint32 index;
  const char *name;
  char *address;
  HrMachineState state;
  guint32 type, zone; /* type: index into the machine types; HR_NONE: not known yet */
  gboolean is_spot;
  gboolean is_draining;
  double idle_since;        /* without tasks since; steady time, s; 0: busy */
  GArray *tasks;            /* HrTaskRef of tasks assigning or bound */
  HrResources free;         /* beside the tasks assigning or bound */
  HrResources reserved;     /* of that, for services alone */
  HrResources services;     /* taken by services */
  HrResources unrecognized; /* taken by tasks that should not be there */
  guint32 images[16];       /* cached, most recently used first */
  guint n_images;
  guint failures; /* of different jobs in a row */
  guint32 last_failed_job;
  double full_until; /* it refused a task for want of capacity; steady time, s */
  HrMachineAgent agent;
  HrMachineInstance instance;
  HrMachinePlan plan;
} HrMachine;

/**
 * hr_machine_free:
 * @machine: (transfer full): a machine
 *
 * Frees a row; HrTables does so for its own.
 */
void hr_machine_free (HrMachine *machine);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (HrMachine, hr_machine_free)

/**
 * hr_machine_has_image:
 * @machine: a machine
 * @image: an image
 *
 * Returns: is the image cached there, as far as is known?
 */
gboolean hr_machine_has_image (const HrMachine *machine, guint32 image);

/**
 * hr_machine_touch_image:
 * @machine: a machine
 * @image: an image that is used there
 *
 * Makes it the most recently used one.
 */
void hr_machine_touch_image (HrMachine *machine, guint32 image);

/**
 * hr_machine_forget_image:
 * @machine: a machine
 * @image: an image that is not cached there
 *
 * Removes it from the cached ones.
 */
void hr_machine_forget_image (HrMachine *machine, guint32 image);

/**
 * hr_machine_describe:
 * @machine: a machine
 * @type: what it is
 * @zone: where it is
 * @spot: may the cloud take it away?
 *
 * Sets what a machine is; its capacity counts from here on. Does nothing when that is known.
 */
void hr_machine_describe (HrMachine *machine, const HrMachineType *type, guint32 zone,
                          gboolean spot);

/**
 * hr_machine_has_unreserved:
 * @machine: a machine
 * @cpus: processors
 * @gpus: graphics processors
 * @memory_gb: memory, GB
 *
 * Returns: is so much capacity free beside that reserved for services?
 */
gboolean hr_machine_has_unreserved (const HrMachine *machine, double cpus, double gpus,
                                    double memory_gb);

/**
 * hr_machine_fits_unreserved:
 * @machine: a machine
 * @spec: a job's specification
 *
 * Returns: is there free capacity for a task of the job beside that reserved for services?
 */
gboolean hr_machine_fits_unreserved (const HrMachine *machine, const HrJobSpec *spec);

/**
 * hr_machine_allocate:
 * @machine: a machine
 * @spec: the task's specification
 * @ref: a task that is not on the machine
 *
 * Adds the task to the machine, whether or not it fits.
 */
void hr_machine_allocate (HrMachine *machine, const HrJobSpec *spec, HrTaskRef ref);

/**
 * hr_machine_release:
 * @machine: a machine
 * @spec: the task's specification
 * @ref: a task
 *
 * Removes the task from the machine, if it is there.
 */
void hr_machine_release (HrMachine *machine, const HrJobSpec *spec, HrTaskRef ref);
