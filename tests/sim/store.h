/* The simulated state service: keys with revisions, leases, transactions, watches, announced limits
 * and outages. It checks what controllers write: fencing, record formats, sizes. */
#pragma once
#include "sim/request.h"
#include "sim/world.h"

/* Announced for the state service in all days. */
#define NEXT_VALUE_KB 2.0
#define NEXT_TXN_OPS 4
#define NEXT_WRITE_RPS 40.0
void store_request (World *world, SimRequest *request);
void store_init (World *world);
void store_format (World *world, gboolean known);
gboolean store_names (World *world, const char *machine);
/* The value of a key, as text; NULL: not there. */
const char *store_text (World *world, const char *key);
guint store_garbage (World *world);
/* Records of open jobs that are larger than the announced limit. */
guint store_large (World *world);
/* A record of this job is in pages of a size that it was split into. */
gboolean store_split (World *world, const char *id);
gboolean store_has (World *world, const char *path);
/* As if it had been written before the day began. */
void store_put (World *world, const char *path, const char *text);
guint store_corrupt_pages (World *world);
int store_leader (World *world); /* the node that the leader record names; -1: none */
void store_free (World *world);
