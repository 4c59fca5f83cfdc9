/**
 * @file check.h
 * Checks the content of one list. An error names the path of the value.
 */
#ifndef MT_LISTS_CHECK_H
#define MT_LISTS_CHECK_H

#include "lists/lists.h"

/** Largest amount of any resource that a list may contain. */
#define MT_RESOURCE_AMOUNT_MAX 100000000

/** Checks one list; does not check that the plans it names exist. */
bool mt_list_check_content(mt_list_t list, const json_t *content,
			   GError **error);

#endif
