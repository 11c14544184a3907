/* Machines: their types, the tasks placed on them, and the state of their workers and instances.
 *
 * HrTables owns the machines (tables.h). Only the module that is named in the comment above a
 * structure updates it; other modules read it. Times are monotonic, in seconds. */
#pragma once
#include "protocol/cloud.h"
#include "protocol/jobspec.h"
#include <glib.h>

/* State of a machine, as this node knows it. */
typedef enum {
  HR_MACHINE_BOOTING,  /* requested or listed by the cloud; no heartbeat received yet */
  HR_MACHINE_UP,       /* a heartbeat was received, or a record places tasks on it */
  HR_MACHINE_DELETING, /* its instance is being deleted */
  HR_MACHINE_GONE      /* not in the fleet: deleted, or not seen in this term yet */
} HrMachineState;

/* A task: the index of its job, and its index in the job. */
typedef struct {
  guint32 job, task;
} HrTaskRef;

/* An attempt that was launched by a direct call, with the fencing token of the call. */
typedef struct {
  guint32 job, task, attempt;
  guint64 fencing_token;
} HrDirectLaunch;

/* An amount of a machine's capacity. */
typedef struct {
  double cpus, gpus, memory_gb;
} HrResources;

/* The machine's worker, as the leader knows it (coordination/agents/). */
typedef struct {
  guint64 incarnation;
  guint64 sequence;         /* sequence number of the newest message */
  guint64 fencing_token;    /* newest token that the worker has reported */
  double sequence_at;       /* when the newest message arrived */
  double last_heartbeat_at; /* 0: no heartbeat has reached this leader yet */
  double lease_renewed_at;  /* when a heartbeat was last answered with 200; 0: never */
  /* When a heartbeat showed that the worker had missed a response. Heartbeats that show it again
   * within half a lease do not change the time. 0: none, or since then an incarnation has ended
   * with its lease. */
  double response_missed_at;
  /* When a heartbeat showed that responses do not reach the worker; 0: none did. */
  double unreachable_at;
  /* Orders that may still take effect: */
  /* Sequence number of the heartbeat whose response held a launch; 0: none pending. */
  guint64 launch_answered_sequence;
  guint direct_calls_in_flight;
  guint64 unanswered_launch_token; /* of the last direct launch whose response was lost; 0: none */
  GArray *direct_launches;         /* HrDirectLaunch: launches under this incarnation */
  gboolean has_urgent_orders;      /* orders are to be sent by a direct call, before a heartbeat */
  gboolean orders_postponed;  /* until the direct call in flight, or the pause after one, ends */
  double direct_paused_until; /* no direct calls until then */
} HrMachineAgent;

/* The machine as an instance of the cloud (coordination/scaling/). */
typedef struct {
  gboolean requested_here; /* requested by this process */
  double requested_at;
  double in_fleet_since; /* when this leader added it to its fleet */
  double listed_at;      /* when the latest instance listing that contains it began */
  double preempted_at;   /* when the cloud will preempt it; 0: no notice */
  gboolean deletion_in_flight;
  gboolean is_deleted; /* the cloud confirmed the deletion */
} HrMachineInstance;

/* The scheduler's plan for the machine (coordination/scheduling/). */
typedef struct {
  guint32 shard;        /* chosen by the hash of its name */
  guint n_shards;       /* number of shards when `shard` was chosen */
  GArray *list;         /* HrTaskRef: tasks planned for the machine, by deadline */
  double tardiness;     /* expected total tardiness of the listed tasks */
  guint late_count;     /* listed tasks that are expected to be late */
  double ready_at;      /* when the first listed task can start */
  HrResources reserved; /* for listed tasks of starving jobs, as of the latest planning pass */
  /* While a job is placed: when it could start here, with its image fetched. */
  double candidate_start;
} HrMachinePlan;

/* A machine that this node knows from records, heartbeats or the cloud. */
typedef struct {
  guint32 index;
  const char *name;
  char *address;
  HrMachineState state;
  guint32 type, zone; /* type: index into the machine types; HR_NONE: not known yet */
  gboolean is_spot;
  gboolean is_draining;     /* receives no new tasks */
  double idle_since;        /* since when it has had no tasks; 0: busy */
  GArray *tasks;            /* HrTaskRef: tasks assigning or bound */
  HrResources free;         /* capacity less that of the tasks assigning or bound */
  HrResources reserved;     /* part of `free` that only services may use */
  HrResources services;     /* used by services */
  HrResources unrecognized; /* used by reported tasks that are not assigned to the machine */
  guint32 images[16];       /* cached images, most recently used first */
  guint n_images;
  guint failures; /* consecutive failures, of different jobs */
  guint32 last_failed_job;
  double full_until; /* receives no tasks until then: it refused one for lack of capacity */
  HrMachineAgent agent;
  HrMachineInstance instance;
  HrMachinePlan plan;
} HrMachine;

/**
 * hr_machine_free:
 * @machine: (transfer full): a machine
 *
 * Frees a machine. HrTables frees the machines that it owns.
 */
void hr_machine_free (HrMachine *machine);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (HrMachine, hr_machine_free)

/**
 * hr_machine_has_image:
 * @machine: a machine
 * @image: an image
 *
 * Returns: whether the image is known to be cached on the machine
 */
gboolean hr_machine_has_image (const HrMachine *machine, guint32 image);

/**
 * hr_machine_touch_image:
 * @machine: a machine
 * @image: an image that is used on the machine
 *
 * Makes the image the most recently used one in the list of cached images.
 */
void hr_machine_touch_image (HrMachine *machine, guint32 image);

/**
 * hr_machine_remove_image:
 * @machine: a machine
 * @image: an image that is not cached on the machine
 *
 * Removes the image from the list of cached images.
 */
void hr_machine_remove_image (HrMachine *machine, guint32 image);

/**
 * hr_machine_set_type:
 * @machine: a machine
 * @type: its machine type
 * @zone: index of its zone
 * @spot: TRUE if the cloud may preempt it
 *
 * Sets the machine's type and zone, and adds the type's capacity to its free capacity. Does nothing
 * if the type is already set.
 */
void hr_machine_set_type (HrMachine *machine, const HrMachineType *type, guint32 zone,
                          gboolean spot);

/**
 * hr_machine_has_unreserved:
 * @machine: a machine
 * @cpus: processors
 * @gpus: graphics processors
 * @memory_gb: memory, GB
 *
 * Returns: whether this capacity is free besides that reserved for services
 */
gboolean hr_machine_has_unreserved (const HrMachine *machine, double cpus, double gpus,
                                    double memory_gb);

/**
 * hr_machine_fits_unreserved:
 * @machine: a machine
 * @spec: a job's specification
 *
 * Returns: whether a task of the job fits the free capacity that is not reserved for services
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
 * Removes the task from the machine. Does nothing if the task is not on it.
 */
void hr_machine_release (HrMachine *machine, const HrJobSpec *spec, HrTaskRef ref);
